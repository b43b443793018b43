package capture

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// file is the part of *os.File that a writer uses.
type file interface {
	io.Writer
	io.Closer
	Truncate(size int64) error
}

func create(name string) (file, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Ext is the file name extension of captures.
const Ext = ".mcap"

// writer encodes and writes batches on its own goroutine, run.
type writer struct {
	recorder *Recorder
	packer   *packer
	block    block
	file     file
	number   int   // of the current file, in its name
	size     int64 // of the current file, in bytes
}

func newWriter(r *Recorder) (*writer, error) {
	p, err := newPacker()
	if err != nil {
		return nil, err
	}
	w := &writer{recorder: r, packer: p}
	files, err := Files(r.dir)
	if err != nil {
		return nil, err
	}
	if len(files) > 0 {
		base := strings.TrimSuffix(filepath.Base(files[len(files)-1]), Ext)
		_, _ = fmt.Sscanf(base, "capture-%d", &w.number)
	}
	return w, w.nextFile()
}

// Files returns the captures in a folder, oldest first.
func Files(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "capture-*"+Ext))
	slices.Sort(files)
	return files, err
}

// nextFile closes the current file and starts the next.
func (w *writer) nextFile() error {
	if w.file != nil {
		_ = w.file.Close()
	}
	w.number++
	f, err := w.recorder.create(filepath.Join(w.recorder.dir, fmt.Sprintf("capture-%08d%s", w.number, Ext)))
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	w.file, w.size = f, 0
	w.removeOldest()
	if err := w.write(fileHeader()); err != nil {
		return err
	}
	if err := w.block.add(TypeBegin, &w.recorder.begin); err != nil {
		return err
	}
	return w.writeChunk()
}

// writeChunk writes the records in the block as a chunk.
func (w *writer) writeChunk() error {
	text, err := w.packer.pack(&w.block)
	if err == nil && text != nil {
		err = w.write(text)
	}
	w.block.reset(w.recorder.limits.Chunk)
	return err
}

// removeOldest removes the oldest files until the newest can grow to FileSize within DirSize.
func (w *writer) removeOldest() {
	files, _ := Files(w.recorder.dir)
	total := max(w.recorder.limits.FileSize-w.size, 0)
	for i := len(files) - 1; i >= 0; i-- {
		info, err := os.Stat(files[i])
		if err == nil {
			total += info.Size()
		}
		if total > w.recorder.limits.DirSize && i < len(files)-1 {
			_ = os.Remove(files[i])
		}
	}
}

func (w *writer) write(b []byte) error {
	n, err := w.file.Write(b)
	w.size += int64(n)
	w.recorder.Bytes.Add(int64(n))
	if err != nil { // a partial chunk would make all that follows unreadable
		_ = w.file.Truncate(w.size - int64(n))
		return fmt.Errorf("capture: %w", err)
	}
	return nil
}

func (w *writer) run() {
	defer close(w.recorder.done)
	for b := range w.recorder.batches {
		if w.recorder.Err() == nil {
			if err := w.writeBatch(b); err != nil { // a full disk ends the capture, but the relay goes on
				w.recorder.fail(err)
			}
		}
		w.recorder.releaseBatch(b)
	}
	_ = w.file.Close()
}

func (w *writer) writeBatch(b *batch) error {
	if b.beginsFile {
		if err := w.nextFile(); err != nil {
			return err
		}
	}
	if err := b.encode(&w.block); err != nil {
		return err
	}
	err := w.writeChunk()
	if w.size >= w.recorder.limits.FileSize {
		w.removeOldest()                 // the file grows beyond FileSize until the next one begins
		w.recorder.wantsFile.Store(true) // asks the core for the state with which the next file begins
	}
	return err
}
