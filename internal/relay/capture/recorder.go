package capture

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/control"
)

// Limits bounds a capture.
type Limits struct {
	Queue    int           // batches on their way to the writer
	Chunk    int           // bytes of records, about, that make a batch, and so a chunk
	Within   time.Duration // after which what there is makes one
	FileSize int64         // from which on the next file begins
	DirSize  int64         // of all files together: the oldest go first
}

// Recorder takes turns from the core's goroutine, which never waits for it, and gathers them in batches. Those are encoded,
// compressed and written on a goroutine of its own.
type Recorder struct {
	dir   string
	begin Begin
	lim   Limits
	log   *slog.Logger

	full   chan *batch // to the writer
	mu     sync.Mutex
	free   []*batch // the one used last comes first: as long as the writer keeps up two are all that grow
	done   chan struct{}
	create func(name string) (file, error)

	// Of the core's goroutine:
	cur  *batch // nil: none was free
	turn uint64
	lost uint64 // turns since the last that was taken
	gap  bool   // something was
	ok   bool   // a state has been taken, and nothing has been lost since
	why  string
	want atomic.Bool // the writer has a file that is long enough: a state is to come, and another begins with it

	Lost  atomic.Uint64 // turns that are in no file
	Bytes atomic.Int64  // that were written
	err   atomic.Pointer[error]
	once  sync.Once
}

// file is what a writer needs of one.
type file interface {
	io.Writer
	io.Closer
	Truncate(size int64) error
}

func create(name string) (file, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

// Ext ends the names of captures.
const Ext = ".mcap"

// New begins a capture in a folder, with a new file.
func New(dir string, begin Begin, lim Limits, log *slog.Logger) (*Recorder, error) {
	return open(dir, begin, lim, log, create)
}

func open(dir string, begin Begin, lim Limits, log *slog.Logger, create func(string) (file, error)) (*Recorder, error) {
	r, w, err := build(dir, begin, lim, log, create)
	if err == nil {
		go w.run()
	}
	return r, err
}

// build makes a recorder whose writer does not run yet.
func build(dir string, begin Begin, lim Limits, log *slog.Logger, create func(string) (file, error)) (*Recorder, *writer, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("capture: %w", err)
	}
	r := &Recorder{dir: dir, begin: begin, lim: lim, log: log, full: make(chan *batch, lim.Queue+1),
		done: make(chan struct{}), create: create}
	for range lim.Queue + 1 {
		r.free = append(r.free, &batch{})
	}
	w, err := newWriter(r)
	return r, w, err
}

// WantsState tells whether the next turn is to come with the module's state before it, since a file begins there or
// turns have been lost.
func (r *Recorder) WantsState() bool { return !r.ok || r.want.Load() }

// State is handed the module's state, the core's (nil: it is not recorded), the names of destinations and the ids of
// messages, right before a turn.
func (r *Recorder) State(x *control.Snapshot, core *Core, names []Name, messages []Message) {
	if r.Err() != nil {
		return
	}
	if r.cur != nil && len(r.cur.order) > 0 {
		r.hand()
	}
	if r.cur == nil && !r.take() {
		return // behind as it is
	}
	r.cur.file = r.want.Swap(false)
	r.ok = true
	if r.gap {
		r.cur.gap(Gap{r.lost, r.why})
	}
	r.lost, r.gap = 0, false
	for i := range names {
		r.cur.name(names[i])
	}
	for i := range messages {
		r.cur.message(messages[i])
	}
	r.cur.state(x, core)
}

// Turn is handed each turn of the module. Nothing of events and actions is kept.
func (r *Recorder) Turn(now time.Duration, events []control.Event, actions []control.Action) {
	r.turn++
	if r.room() {
		r.cur.turn(r.turn, now, events, actions)
	} else {
		r.lost++
		r.Lost.Add(1)
	}
}

// Turns is the number of the module's last turn.
func (r *Recorder) Turns() uint64 { return r.turn }

// Input is handed each turn of the core, behind the module's. Nothing of it is kept but texts and lists in its events.
func (r *Recorder) Input(in *Input) {
	if r.room() {
		r.cur.input(in)
	}
}

// Name is handed each destination that becomes known.
func (r *Recorder) Name(n Name) {
	if r.room() {
		r.cur.name(n)
	}
}

// Message is handed each message that is taken up.
func (r *Recorder) Message(m Message) {
	if r.room() {
		r.cur.message(m)
	}
}

// Note is handed what happens to the relay itself.
func (r *Recorder) Note(n Note) {
	if r.room() {
		r.cur.note(n)
	}
}

// room tells whether a record can be taken. What can't leaves a gap: a replay could not go on past it.
func (r *Recorder) room() bool {
	if !r.ok || r.Err() != nil {
		return false
	}
	if r.cur == nil && !r.take() {
		r.ok, r.why = false, "the writer could not keep up"
		r.gap = true
		return false
	}
	return true
}

// Tick ends a turn: what has stood long enough, or is long enough, goes to the writer.
func (r *Recorder) Tick(now time.Time) {
	if r.cur == nil || len(r.cur.order) == 0 {
		return
	}
	if r.cur.since.IsZero() {
		r.cur.since = now
	}
	if r.cur.weight >= r.lim.Chunk || now.Sub(r.cur.since) >= r.lim.Within {
		r.hand()
	}
}

// take finds a batch to fill.
func (r *Recorder) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.free) - 1
	if n < 0 {
		return false
	}
	r.cur, r.free = r.free[n], r.free[:n]
	return true
}

// back takes an empty batch.
func (r *Recorder) back(b *batch) {
	b.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free = append(r.free, b)
}

// hand gives the batch to the writer: there are no more than it has room for.
func (r *Recorder) hand() {
	r.full <- r.cur
	r.cur = nil
}

// stop ends the capture at an error: what stands in the file can be read.
func (r *Recorder) stop(err error) {
	if r.err.CompareAndSwap(nil, &err) {
		r.log.Error("capture failed, recording no more", "err", err)
	}
}

// Err is why nothing is written any more; nil: all is well.
func (r *Recorder) Err() error {
	if e := r.err.Load(); e != nil {
		return *e
	}
	return nil
}

// Close ends the capture; what was handed over is written. It must not be called beside the others.
func (r *Recorder) Close() {
	r.once.Do(func() {
		if r.cur != nil {
			r.hand()
		}
		close(r.full)
		<-r.done
		r.log.Info("capture ended", "dir", r.dir, "bytes", r.Bytes.Load(), "lost_turns", r.Lost.Load(), "err", r.Err())
	})
}

// writer is the goroutine that writes.
type writer struct {
	r    *Recorder
	p    *packer
	b    block
	f    file
	no   int
	size int64
}

func newWriter(r *Recorder) (*writer, error) {
	p, err := newPacker()
	if err != nil {
		return nil, err
	}
	w := &writer{r: r, p: p}
	files, err := Files(r.dir)
	if err != nil {
		return nil, err
	}
	if len(files) > 0 {
		base := strings.TrimSuffix(filepath.Base(files[len(files)-1]), Ext)
		_, _ = fmt.Sscanf(base, "capture-%d", &w.no)
	}
	return w, w.next()
}

// Files are the captures in a folder, the oldest first.
func Files(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "capture-*"+Ext))
	slices.Sort(files)
	return files, err
}

// next begins another file.
func (w *writer) next() error {
	if w.f != nil {
		_ = w.f.Close()
	}
	w.no++
	f, err := w.r.create(filepath.Join(w.r.dir, fmt.Sprintf("capture-%08d%s", w.no, Ext)))
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	w.f, w.size = f, 0
	w.trim()
	if err := w.write(headOfFile()); err != nil {
		return err
	}
	if err := w.b.add(TypeBegin, &w.r.begin); err != nil {
		return err
	}
	return w.chunk()
}

// chunk writes what has been gathered.
func (w *writer) chunk() error {
	text, err := w.p.pack(&w.b)
	if err == nil && text != nil {
		err = w.write(text)
	}
	w.b.reset(w.r.lim.Chunk)
	return err
}

// trim removes the oldest files until there is room for what the newest still lacks of its size.
func (w *writer) trim() {
	files, _ := Files(w.r.dir)
	total := max(w.r.lim.FileSize-w.size, 0)
	for i := len(files) - 1; i >= 0; i-- {
		info, err := os.Stat(files[i])
		if err == nil {
			total += info.Size()
		}
		if total > w.r.lim.DirSize && i < len(files)-1 {
			_ = os.Remove(files[i])
		}
	}
}

func (w *writer) write(b []byte) error {
	n, err := w.f.Write(b)
	w.size += int64(n)
	w.r.Bytes.Add(int64(n))
	if err != nil { // what was written of it would hide all that follows
		_ = w.f.Truncate(w.size - int64(n))
		return fmt.Errorf("capture: %w", err)
	}
	return nil
}

func (w *writer) run() {
	defer close(w.r.done)
	for b := range w.r.full {
		if w.r.Err() == nil {
			if err := w.take(b); err != nil { // a disk that is full ends the capture and nothing else
				w.r.stop(err)
			}
		}
		w.r.back(b)
	}
	_ = w.f.Close()
}

func (w *writer) take(b *batch) error {
	if b.file {
		if err := w.next(); err != nil {
			return err
		}
	}
	if err := b.encode(&w.b); err != nil {
		return err
	}
	err := w.chunk()
	if w.size >= w.r.lim.FileSize {
		w.trim()             // it grows until the core is asked and brings the next
		w.r.want.Store(true) // the core brings the state for the next file
	}
	return err
}
