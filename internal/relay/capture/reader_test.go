package capture

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestReader_TruncatedAtAnyByte_ReadsCompleteChunks: a capture cut off at any byte is read and replayed up to its last complete chunk.
func TestReader_TruncatedAtAnyByte_ReadsCompleteChunks(t *testing.T) {
	text := smallChunks(t)
	turns := 0
	for size := range text {
		result, err := replayed(text[:size], Options{})
		if size < fileHead {
			if !errors.Is(err, ErrNotCapture) {
				t.Fatalf("%d bytes: %v, want %v", size, err, ErrNotCapture)
			}
			continue
		}
		if result.Turns < turns || (err != nil) != (result.Turns == 0) {
			t.Fatalf("cut at byte %d: %d turns, error %v", size, result.Turns, err)
		}
		turns = result.Turns
	}
}

// TestReader_AnyByteChanged_ReadsNoFurther: a changed byte ends reading at its chunk; earlier chunks are still read.
func TestReader_AnyByteChanged_ReadsNoFurther(t *testing.T) {
	text := smallChunks(t)
	for offset := fileHead; offset < len(text); offset += 7 {
		damaged := slices.Clone(text)
		damaged[offset] ^= 1
		result, _ := replayed(damaged, Options{})
		var torn *TornError
		if !errors.As(result.Torn, &torn) || torn.Offset > int64(offset) || torn.Size != int64(len(text)) || result.Turns > smallTurns {
			t.Fatalf("byte %d changed: %+v, want reading to end at its chunk", offset, result)
		}
	}
}

const smallTurns = 40

// smallChunks returns a capture of smallTurns turns, in chunks of about one kilobyte.
func smallChunks(t *testing.T) []byte {
	t.Helper()
	limits := testLimits
	limits.Chunk = 1 << 10
	dir, _ := recordWorld(t, 4, smallTurns, limits, 0)
	return onlyFile(t, dir)
}

// TestReader_OtherMajorVersion_IsRejected: the error names the file's version.
func TestReader_OtherMajorVersion_IsRejected(t *testing.T) {
	dir, _ := recordWorld(t, 4, 50, testLimits, 0)
	text := onlyFile(t, dir)
	text[4] = Major + 1
	if _, err := replayed(text, Options{}); !errors.Is(err, ErrVersion) || !strings.Contains(err.Error(), fmt.Sprint(Major+1)) {
		t.Errorf("file of another major version: error %v, want ErrVersion with that version", err)
	}
}

// TestReader_LaterMinorVersion_SkipsUnknownRecords: a file of a later minor version is read without its records of unknown types.
func TestReader_LaterMinorVersion_SkipsUnknownRecords(t *testing.T) {
	dir, _ := recordWorld(t, 4, 50, testLimits, 0)
	text := onlyFile(t, dir)
	text[5] = 9
	chunker, err := newChunker()
	if err != nil {
		t.Fatal(err)
	}
	file := bytes.NewBuffer(text)
	if err := errors.Join(chunker.add(23, map[int]string{1: "new"}), chunker.flushTo(file)); err != nil {
		t.Fatal(err)
	}
	reader := openText(t, file.Bytes())
	if result, err := Replay(reader, Options{}); err != nil || result.Turns != 50 || reader.Skipped != 1 {
		t.Errorf("%+v, error %v, %d records skipped; want 50 turns and 1 skipped", result, err, reader.Skipped)
	}
}

// TestReader_ChunkWithoutRecords_NamesItsPlace: a chunk with a correct checksum whose body is not a record is an error with its offset.
func TestReader_ChunkWithoutRecords_NamesItsPlace(t *testing.T) {
	chunker, err := newChunker()
	if err != nil {
		t.Fatal(err)
	}
	chunker.body.WriteString("no record")
	file := bytes.NewBuffer(fileHeader())
	if err := chunker.flushTo(file); err != nil {
		t.Fatal(err)
	}
	var chunkError *ChunkError
	if _, err := replayed(file.Bytes(), Options{}); !errors.As(err, &chunkError) || chunkError.Offset != fileHead {
		t.Errorf("error %v, want a *ChunkError for the chunk at byte %d", err, fileHead)
	}
}

// TestReader_OlderMinorVersion_IsReadComplete: captures of an older minor version are read to their ends and replay without a difference.
// Most of the corpus is of version 1.0.
func TestReader_OlderMinorVersion_IsReadComplete(t *testing.T) {
	files, _ := filepath.Glob("testdata/*" + Ext)
	older := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		reader := openText(t, text)
		if reader.Minor >= Minor {
			continue
		}
		if _, err := Replay(reader, Options{}); err != nil {
			t.Errorf("%s of version %d.%d: %v", file, Major, reader.Minor, err)
		}
		older++
	}
	if older == 0 {
		t.Error("the corpus has no capture of an older minor version")
	}
}
