package capture

import (
	"errors"
	"os"
	"testing"
	"time"
)

// TestRecorder_SlowWriter_LosesTurnsAndNeverBlocks: with a writer that can't keep up turns are lost, and the core never waits. A replay
// stops at the gap, or continues at the next state with Options.PastGap.
func TestRecorder_SlowWriter_LosesTurnsAndNeverBlocks(t *testing.T) {
	limits := testLimits
	limits.Queue, limits.Chunk = 3, 1<<10
	recorder, writer, err := build(t.TempDir(), Begin{Seed: 5, Settings: settings()}, limits, quiet, create)
	if err != nil {
		t.Fatal(err)
	}
	module, world := newModule(t, 5), newWorld(3)
	for no := range 300 {
		if no < 100 || no >= 200 { // from 100 to 199 the writer hangs
			writeBatches(t, recorder, writer)
		}
		recordTurn(recorder, module, world, no)
	}
	recorder.send()
	writeBatches(t, recorder, writer)

	text := onlyFile(t, recorder.dir)
	lost := int(recorder.Lost.Load())
	if lost < 30 || lost > 100 {
		t.Errorf("%d turns lost, want 30 to 100", lost)
	}
	if result, err := replayed(text, Options{}); !errors.Is(err, ErrGap) || result.Turns < 100 {
		t.Errorf("%d turns, then error %v; want at least 100 and ErrGap", result.Turns, err)
	}
	if result, err := replayed(text, Options{PastGap: true}); err != nil || result.Turns != 300-lost || result.Gaps != 1 {
		t.Errorf("%+v, error %v; want 300 turns less %d, and one gap", result, err, lost)
	}
}

// writeBatches writes all waiting batches, in place of the writer's goroutine.
func writeBatches(t *testing.T, recorder *Recorder, writer *writer) {
	t.Helper()
	for len(recorder.batches) > 0 {
		batch := <-recorder.batches
		if err := writer.writeBatch(batch); err != nil {
			t.Fatal(err)
		}
		recorder.releaseBatch(batch)
	}
}

// TestRecorder_DirSize_OldestFilesGoFirst: a capture goes on in new files, each of which replays by itself, and the oldest are removed.
func TestRecorder_DirSize_OldestFilesGoFirst(t *testing.T) {
	for name, size := range map[string]int64{"several chunks a file": 16 << 10, "the first state exceeds the file size": 1 << 10} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits
			limits.FileSize, limits.DirSize = size, 80<<10
			dir, recorder := recordWorld(t, 5, 6000, limits, 0)
			files, _ := Files(dir)
			total := int64(0)
			for _, file := range files {
				text, err := os.ReadFile(file)
				if err != nil {
					t.Fatal(err)
				}
				total += int64(len(text))
				if result, err := replayed(text, Options{}); err != nil || result.Turns == 0 {
					t.Errorf("%s: %v", file, err)
				}
			}
			if len(files) < 2 || total > limits.DirSize || recorder.Bytes.Load() < 2*limits.DirSize || recorder.Lost.Load() != 0 {
				t.Errorf("%d files of %d bytes, of %d written; %d turns lost", len(files), total, recorder.Bytes.Load(), recorder.Lost.Load())
			}
		})
	}
}

// TestRecorder_FullDisk_EndsCleanly: on a full disk the capture ends with a readable file, and the core can go on calling the recorder.
func TestRecorder_FullDisk_EndsCleanly(t *testing.T) {
	dir := t.TempDir()
	disk := &fullDisk{left: 20 << 10}
	limits := Limits{Queue: 1 << 12, Chunk: 1 << 10, Within: time.Hour, FileSize: 1 << 20, DirSize: 1 << 30}
	recorder, err := open(dir, Begin{Settings: settings()}, limits, quiet, disk.create)
	if err != nil {
		t.Fatal(err)
	}
	module, world := newModule(t, 1), newWorld(1)
	for no := 0; no < 200000 && recorder.Err() == nil; no++ {
		recordTurn(recorder, module, world, no)
	}
	recorder.Close()
	if recorder.Err() == nil {
		t.Error("no error is reported for a full disk")
	}
	if result, err := replayed(onlyFile(t, dir), Options{}); err != nil || result.Turns == 0 || result.Torn != nil {
		t.Errorf("replay of what was written before the disk was full: %+v, error %v", result, err)
	}
}

// fullDisk accepts left bytes, and of the write that exceeds them the part that fits.
type fullDisk struct{ left int }

type fullFile struct {
	*os.File
	disk *fullDisk
}

func (d *fullDisk) create(name string) (file, error) {
	f, err := os.Create(name)
	return fullFile{f, d}, err
}

func (f fullFile) Write(b []byte) (int, error) {
	if n := f.disk.left; n < len(b) {
		f.disk.left = 0
		n, _ = f.File.Write(b[:n])
		return n, errors.New("no space left on device")
	}
	f.disk.left -= len(b)
	return f.File.Write(b)
}
