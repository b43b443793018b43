package capture

import (
	"fmt"
	"log/slog"
	"os"
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
	dir    string
	begin  Begin
	limits Limits
	log    *slog.Logger

	batches chan *batch // to the writer
	mu      sync.Mutex
	free    []*batch // the one used last comes first: as long as the writer keeps up two are all that grow
	done    chan struct{}
	create  func(name string) (file, error)

	// Of the core's goroutine:
	current   *batch // nil: none was free
	turn      uint64
	lostInGap uint64 // turns since the last that was taken
	hasGap    bool   // something was
	hasState  bool   // a state has been taken, and nothing has been lost since
	gapReason string
	wantsFile atomic.Bool // the writer has a file that is long enough: a state is to come, and another begins with it

	Lost  atomic.Uint64 // turns that are in no file
	Bytes atomic.Int64  // that were written
	err   atomic.Pointer[error]
	once  sync.Once
}

// New begins a capture in a folder, with a new file.
func New(dir string, begin Begin, limits Limits, log *slog.Logger) (*Recorder, error) {
	return open(dir, begin, limits, log, create)
}

// open is New with another way to create files.
func open(dir string, begin Begin, limits Limits, log *slog.Logger, create func(string) (file, error)) (*Recorder, error) {
	recorder, writer, err := build(dir, begin, limits, log, create)
	if err == nil {
		go writer.run()
	}
	return recorder, err
}

// build makes a recorder whose writer does not run yet.
func build(dir string, begin Begin, limits Limits, log *slog.Logger, create func(string) (file, error)) (*Recorder, *writer, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("capture: %w", err)
	}
	r := &Recorder{dir: dir, begin: begin, limits: limits, log: log, batches: make(chan *batch, limits.Queue+1),
		done: make(chan struct{}), create: create}
	for range limits.Queue + 1 {
		r.free = append(r.free, &batch{})
	}
	w, err := newWriter(r)
	return r, w, err
}

// WantsState tells whether the next turn is to come with the module's state before it, since a file begins there or
// turns have been lost.
func (r *Recorder) WantsState() bool { return !r.hasState || r.wantsFile.Load() }

// State is handed the module's state, the core's (nil: it is not recorded), the names of destinations and the ids of
// messages, right before a turn.
func (r *Recorder) State(snapshot *control.Snapshot, core *Core, names []Name, messages []Message) {
	if r.Err() != nil {
		return
	}
	if r.current != nil && len(r.current.order) > 0 {
		r.send()
	}
	if r.current == nil && !r.takeFree() {
		return // behind as it is
	}
	r.current.beginsFile = r.wantsFile.Swap(false)
	r.hasState = true
	if r.hasGap {
		r.current.gap(Gap{r.lostInGap, r.gapReason})
	}
	r.lostInGap, r.hasGap = 0, false
	for i := range names {
		r.current.name(names[i])
	}
	for i := range messages {
		r.current.message(messages[i])
	}
	r.current.state(snapshot, core)
}

// Turn is handed each turn of the module. Nothing of events and actions is kept.
func (r *Recorder) Turn(now time.Duration, events []control.Event, actions []control.Action) {
	r.turn++
	if r.canTake() {
		r.current.turn(r.turn, now, events, actions)
	} else {
		r.lostInGap++
		r.Lost.Add(1)
	}
}

// Turns is the number of the module's last turn.
func (r *Recorder) Turns() uint64 { return r.turn }

// Input is handed each turn of the core, behind the module's. Nothing of it is kept but texts and lists in its events.
func (r *Recorder) Input(in *Input) {
	if r.canTake() {
		r.current.input(in)
	}
}

// Name is handed each destination that becomes known.
func (r *Recorder) Name(n Name) {
	if r.canTake() {
		r.current.name(n)
	}
}

// Message is handed each message that is taken up.
func (r *Recorder) Message(m Message) {
	if r.canTake() {
		r.current.message(m)
	}
}

// Note is handed what happens to the relay itself.
func (r *Recorder) Note(n Note) {
	if r.canTake() {
		r.current.note(n)
	}
}

// canTake tells whether a record can be taken. What can't leaves a gap: a replay could not go on past it.
func (r *Recorder) canTake() bool {
	if !r.hasState || r.Err() != nil {
		return false
	}
	if r.current == nil && !r.takeFree() {
		r.hasState, r.gapReason = false, "the writer could not keep up"
		r.hasGap = true
		return false
	}
	return true
}

// Tick ends a turn: what has stood long enough, or is long enough, goes to the writer.
func (r *Recorder) Tick(now time.Time) {
	if r.current == nil || len(r.current.order) == 0 {
		return
	}
	if r.current.since.IsZero() {
		r.current.since = now
	}
	if r.current.weight >= r.limits.Chunk || now.Sub(r.current.since) >= r.limits.Within {
		r.send()
	}
}

// takeFree finds a batch to fill.
func (r *Recorder) takeFree() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.free) - 1
	if last < 0 {
		return false
	}
	r.current, r.free = r.free[last], r.free[:last]
	return true
}

// giveBack takes an empty batch.
func (r *Recorder) giveBack(b *batch) {
	b.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free = append(r.free, b)
}

// send gives the batch to the writer: there are no more than it has room for.
func (r *Recorder) send() {
	r.batches <- r.current
	r.current = nil
}

// fail ends the capture at an error: what stands in the file can be read.
func (r *Recorder) fail(err error) {
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
		if r.current != nil {
			r.send()
		}
		close(r.batches)
		<-r.done
		r.log.Info("capture ended", "dir", r.dir, "bytes", r.Bytes.Load(), "lost_turns", r.Lost.Load(), "err", r.Err())
	})
}
