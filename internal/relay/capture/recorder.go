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

// Limits holds the limits of a capture.
type Limits struct {
	Queue    int           // batches waiting for the writer
	Chunk    int           // approximate size of a batch, and so of a chunk, in bytes before compression
	Within   time.Duration // a batch goes to the writer after this time even if it is smaller
	FileSize int64         // size in bytes from which the next file begins
	DirSize  int64         // bytes of all files together: the oldest are removed
}

// Recorder collects turns from the core's goroutine in batches. The core never waits: the writer's goroutine encodes,
// compresses and writes the batches.
type Recorder struct {
	dir    string
	begin  Begin
	limits Limits
	log    *slog.Logger

	batches chan *batch // to the writer
	mu      sync.Mutex
	free    []*batch // last in, first out: while the writer keeps up, only two batches are ever used and grow
	done    chan struct{}
	create  func(name string) (file, error)

	// Only the core's goroutine uses these fields, but the writer sets wantsFile:
	current   *batch // the batch being filled; nil: none
	turn      uint64
	lostInGap uint64 // turns lost since the last recorded one
	hasGap    bool   // records have been lost since then
	hasState  bool   // a state has been recorded, and no record lost since
	gapReason string
	wantsFile atomic.Bool // the file is full: the next turn comes with a state, which begins another file

	Lost  atomic.Uint64 // turns that were not recorded
	Bytes atomic.Int64  // bytes written
	err   atomic.Pointer[error]
	once  sync.Once
}

// New starts a capture with a new file in a folder.
func New(dir string, begin Begin, limits Limits, log *slog.Logger) (*Recorder, error) {
	return open(dir, begin, limits, log, create)
}

// open is New with a given function to create files.
func open(dir string, begin Begin, limits Limits, log *slog.Logger, create func(string) (file, error)) (*Recorder, error) {
	recorder, writer, err := build(dir, begin, limits, log, create)
	if err == nil {
		go writer.run()
	}
	return recorder, err
}

// build makes a recorder and its writer without starting the writer's goroutine.
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

// WantsState reports whether State has to be called before the next turn, because a new file begins or turns have been lost.
func (r *Recorder) WantsState() bool { return !r.hasState || r.wantsFile.Load() }

// State records the state of the module, that of the core (nil: not recorded), the names of destinations and the ids of
// messages. It is called immediately before a turn.
func (r *Recorder) State(snapshot *control.Snapshot, core *Core, names []Name, messages []Message) {
	if r.Err() != nil {
		return
	}
	if r.current != nil && len(r.current.order) > 0 {
		r.send()
	}
	if r.current == nil && !r.acquireBatch() {
		return // the writer is behind; WantsState stays true
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

// Turn records a turn of the module. It copies events and actions.
func (r *Recorder) Turn(now time.Duration, events []control.Event, actions []control.Action) {
	r.turn++
	if r.canRecord() {
		r.current.turn(r.turn, now, events, actions)
	} else {
		r.lostInGap++
		r.Lost.Add(1)
	}
}

// Turns returns the number of the module's last turn.
func (r *Recorder) Turns() uint64 { return r.turn }

// Input records a turn of the core, after the module's turn. It keeps the texts and lists in the events, and copies the rest.
func (r *Recorder) Input(in *Input) {
	if r.canRecord() {
		r.current.input(in)
	}
}

// Name records the name of a new destination.
func (r *Recorder) Name(n Name) {
	if r.canRecord() {
		r.current.name(n)
	}
}

// Message records the id of a new message.
func (r *Recorder) Message(m Message) {
	if r.canRecord() {
		r.current.message(m)
	}
}

// Note records an event of the relay itself.
func (r *Recorder) Note(n Note) {
	if r.canRecord() {
		r.current.note(n)
	}
}

// canRecord reports whether a record can be added. If not, records are lost until the next state: a gap, at which a replay stops.
func (r *Recorder) canRecord() bool {
	if !r.hasState || r.Err() != nil {
		return false
	}
	if r.current == nil && !r.acquireBatch() {
		r.hasState, r.gapReason = false, "the writer could not keep up"
		r.hasGap = true
		return false
	}
	return true
}

// Tick ends a turn: it passes the batch to the writer if the batch is large enough or old enough.
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

// acquireBatch sets current to a free batch; false: none is free.
func (r *Recorder) acquireBatch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.free) - 1
	if last < 0 {
		return false
	}
	r.current, r.free = r.free[last], r.free[:last]
	return true
}

// releaseBatch empties a batch and adds it to the free ones.
func (r *Recorder) releaseBatch(b *batch) {
	b.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free = append(r.free, b)
}

// send passes the current batch to the writer. It never blocks: the channel has room for all batches.
func (r *Recorder) send() {
	r.batches <- r.current
	r.current = nil
}

// fail ends the capture after an error: what has been written stays readable.
func (r *Recorder) fail(err error) {
	if r.err.CompareAndSwap(nil, &err) {
		r.log.Error("capture failed, recording no more", "err", err)
	}
}

// Err returns the error that ended the capture; nil: none.
func (r *Recorder) Err() error {
	if e := r.err.Load(); e != nil {
		return *e
	}
	return nil
}

// Close writes all records so far and ends the capture. It must not be called concurrently with other methods.
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
