package engine

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/journal"
	"mastusher/internal/relay/wire"
)

// clockStart is where the module's clock stands when the process starts: late enough for all that happened
// to a message before that.
const clockStart = 24 * time.Hour

// Core owns the module. All but Submit, Withdraw, Drain and Ready belong to the goroutine that runs Run (or
// calls Turn: tests and replays). It reads no clock in a turn, and walks no map in an order that counts.
type Core struct {
	set   *wire.Settings
	lim   *config.Limits
	log   *slog.Logger
	mod   *control.Sender
	rec   tape             // nil: nothing is recorded
	told  control.Settings // what the module was told
	seed  uint64
	jour  Journal
	shell Shell
	spect Inspector // nil: none
	queue chan event

	base     time.Time // when the process started
	fronts   map[string]*frontState
	order    []*frontState
	msgs     map[uint64]*message
	byID     map[string]*message // by front and id
	dests    map[uint32]*Destination
	names    map[string]uint32 // numbers of destinations, by front and name
	lastNo   uint32
	lastRef  uint64
	forget   time.Duration // after which nothing of a destination that is gone can be unfinished
	lastStep uint64
	out      map[uint64]*Attempt // by number
	handed   uint64              // messages handed in
	owed     int                 // notices

	in      []control.Event // for the turn at hand
	acts    []control.Action
	arrived []*message
	tellers []func() // told to hooks once the turn is journalled
	ended   endings
	wakeAt  time.Time
	watchAt time.Time
	drainAt time.Time // when the process was told to end; zero: it was not
	houseAt time.Time // when what has grown old was last looked for
	input   capture.Input
	handeds []capture.Arrival // that its events point to
	refs    []uint64          // for the deed at hand
	tells   bool              // deeds are kept in full
	ready   atomic.Bool
	drained chan struct{}
	over    bool // drained is closed
	stopped bool // this turn is the last

	counts   counts           // nil: nobody asks
	gov      *capture.Mandate // what the fleet lets this relay do; nil: it belongs to none
	stalled  []*Attempt       // that wait until it may act
	standing atomic.Pointer[standing]
}

// frontState is what the core keeps for a front.
type frontState struct {
	name    string
	no      int
	Front   Front
	list    map[string]uint32 // its destinations
	index   int64             // of the newest endpoint list
	watchNo int               // of the watch that was begun last
	toldBy  int               // the watch that told the newest list; 0: it was known at the start
	unwatch func()            // ends that watch; nil: it has ended
	owed    []Notice
	sending []Notice
	unsend  func() // ends the call with those; nil: none is out
	away    bool   // the front has moved while it was out
	retryAt time.Time
	gap     time.Duration // before the next try
}

// message is one that is not over.
type message struct {
	ref   uint64
	hand  uint64 // its number among those handed in; 0: it was there at the start
	front *frontState
	e     *journal.Entry
	reply chan Reply // nil once it is answered
	busy  *Reply     // the answer, if the module ended it in the turn of its arrival
	step  *Attempt   // out now
}

// event is what socket code hands to the core.
type event interface{ apply(c *Core, now time.Time) }

// ModuleSettings is what the module is told of a configuration's settings. It counts a window from one decision to the next; a
// partner counts it between arrivals, and a repeat on a new connection arrives later than it was decided.
func ModuleSettings(cfg *config.Config) control.Settings {
	set := cfg.Settings.Settings
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		set.Classes[i].Memory = max(set.Classes[i].Memory-cfg.Limits.WindowMargin, 0)
	}
	return set
}

// New returns a core with the journal's messages taken up again. Fronts must be added before Run.
func New(cfg *config.Config, jour Journal, log *slog.Logger, now time.Time) (*Core, error) {
	set := ModuleSettings(cfg)
	mod, err := control.New(set, cfg.Seed)
	if err != nil {
		return nil, err
	}
	forget := time.Second
	for _, k := range set.Classes {
		forget = max(forget, k.Deadline+time.Second)
	}
	return &Core{told: ModuleSettings(cfg), seed: cfg.Seed, set: &cfg.Settings, forget: forget, lim: &cfg.Limits, log: log, mod: mod, jour: jour,
		queue: make(chan event, cfg.Limits.Queue), shell: live{context.Background()}, base: now, houseAt: now,
		fronts: map[string]*frontState{}, msgs: map[uint64]*message{}, byID: map[string]*message{},
		drained: make(chan struct{}), dests: map[uint32]*Destination{}, names: map[string]uint32{}, out: map[uint64]*Attempt{}}, nil
}

// AddFront makes a wire known under a name that stays the same across restarts, with its list as last known.
func (c *Core) AddFront(name string, f Front, known EndpointList) {
	st := &frontState{name: name, no: len(c.order), Front: f, list: map[string]uint32{}}
	c.fronts[name] = st
	c.order = append(c.order, st)
	known.Complete = true
	listChanged{st, 0, known}.apply(c, c.base)
}

// SetInspector sets who sees messages, answers and ends; it must be called before the fronts take messages.
func (c *Core) SetInspector(i Inspector) { c.spect = i }

// SetShell has the core's calls made otherwise than on goroutines; it must be called before Restore.
func (c *Core) SetShell(s Shell) { c.shell = s }

// Restore takes up again what the journal holds: the module is told what happened before the restart.
func (c *Core) Restore(now time.Time) {
	for _, e := range c.jour.Entries() {
		f := c.fronts[e.Front]
		if f == nil {
			c.log.Warn("a message of a front that is off waits in the journal", "front", e.Front, "id", e.ID)
			continue
		}
		m := c.add(f, e)
		if e.NoticePending {
			c.owe(m, e.Notice)
			continue
		}
		if e.InFlight { // it was out when the process ended: it may have run
			c.jour.EndAttempt(e, false)
		}
		if e.Class < 0 || e.Class >= len(c.set.Classes) { // of other settings: nothing says how it may be sent
			c.log.Warn("a message of a class that the settings no longer have is given up", "id", e.ID, "class", e.Class)
			c.owe(m, journal.Notice{})
			c.jour.EndWithNotice(e, e.Notice)
			continue
		}
		c.narrow(e, now)
		c.in = append(c.in, c.arrival(m))
	}
	if !c.set.MustSubscribe {
		c.watchAt = now
	}
	c.Turn(now, c.pending(nil)) // a capture that is on from the start has this turn too
	c.ready.Store(true)
}

// narrow takes what the journal tells of times for the narrower where the clock has gone back since: no message has more time than
// its class gives, and a window that began in what is now the future is over.
func (c *Core) narrow(e *journal.Entry, now time.Time) {
	k := &c.set.Classes[e.Class]
	if most := now.Add(k.Deadline); e.Deadline.After(most) {
		e.Deadline = most
	}
	if e.MayHaveRun && e.MayHaveRunAt.After(now) {
		e.MayHaveRunAt = now.Add(-k.Memory)
	}
}

// Ready tells whether new messages are taken on.
func (c *Core) Ready() bool { return c.ready.Load() && c.leased() }

// clock is t on the module's clock.
func (c *Core) clock(t time.Time) time.Duration { return max(clockStart+t.Sub(c.base), 1) }

func (c *Core) arrival(m *message) control.Event {
	ev := control.Event{Kind: control.Arrived, ID: m.ref, Destination: m.front.no<<20 + m.e.Destination,
		Class: m.e.Class, Tenant: m.e.Tenant, Deadline: c.clock(m.e.Deadline), Resubmitted: m.e.Resubmitted, Attempt: m.e.Attempts, MayHaveRun: m.e.MayHaveRun}
	if ev.MayHaveRun {
		ev.RanAt, ev.Endpoint = c.clock(m.e.MayHaveRunAt), c.number(m.front, m.e.MayHaveRunOn)
	}
	return ev
}

func (c *Core) add(f *frontState, e *journal.Entry) *message {
	c.lastRef++
	m := &message{ref: c.lastRef, front: f, e: e}
	c.msgs[m.ref], c.byID[f.name+" "+e.ID] = m, m
	if c.rec != nil {
		c.rec.Message(capture.Message{Ref: m.ref, Front: f.name, ID: e.ID})
	}
	return m
}

func (c *Core) drop(m *message) {
	delete(c.msgs, m.ref)
	if k := m.front.name + " " + m.e.ID; c.byID[k] == m {
		delete(c.byID, k)
	}
}

// number is the module's id of a destination.
func (c *Core) number(f *frontState, name string) uint32 {
	key := f.name + " " + name
	n, ok := c.names[key]
	if !ok {
		c.lastNo++
		n = c.lastNo
		c.names[key] = n
		if c.rec != nil {
			c.rec.Name(capture.Name{Number: n, Front: f.name, Name: name})
		}
	}
	return n
}

// serves tells whether the endpoint list names a destination of that partner, or did so until lately.
func (c *Core) serves(f *frontState, partner int) bool {
	for _, d := range c.dests {
		if d.front == f && d.Partner == partner {
			return true
		}
	}
	return false
}

// forgetGone drops the destinations that left the list so long ago that no message can still be out there.
func (c *Core) forgetGone(now time.Time) {
	for n, d := range c.dests {
		if !d.goneAt.IsZero() && now.Sub(d.goneAt) > c.forget {
			delete(c.dests, n)
			if d.front.list[d.Name] == n {
				delete(d.front.list, d.Name)
			}
		}
	}
	for name, n := range c.names { // some stand only in the journal
		if c.dests[n] == nil {
			delete(c.names, name)
		}
	}
}

// Submit hands in a message and waits for the answer, which comes within the turn.
func (c *Core) Submit(front string, m Message) Reply {
	if !c.ready.Load() || !c.admitted() {
		return Reply{Verdict: Busy, RetryAfter: c.lim.BusyRetry}
	}
	a := arrival{front: front, at: time.Now(), reply: make(chan Reply, 1)}
	for {
		a.msg = m
		if c.spect != nil {
			if s := c.standing.Load(); s != nil {
				a.under = s.version + 1
			}
			a.ruling = c.spect.OnArrival(front, &a.msg)
		}
		select {
		case c.queue <- a:
		default: // the queue is full: the relay can't keep up
			return Reply{Verdict: Busy, RetryAfter: c.lim.BusyRetry}
		}
		// It may have passed the check above right before a change stopped the relay: it waits for that like those after it.
		if r := <-a.reply; !r.halted || time.Since(a.at) > haltWait || !c.admitted() {
			return r
		}
	}
}

// Withdraw tells that a client never heard the answer r: what was taken on with it is over. Where the message
// had been taken on before, whoever handed it in first still counts on it.
func (c *Core) Withdraw(r Reply) {
	if r.ref != 0 {
		c.queue <- withdrawn{r.ref}
	}
}

// Drain refuses new messages from now on; see Drained.
func (c *Core) Drain() {
	c.ready.Store(false)
	c.queue <- drain{}
}

// Drained is closed when all that was held at Drain is over, or at the limit.
func (c *Core) Drained() <-chan struct{} { return c.drained }

// Stop has Run return after one more turn. Whoever might still hand something in must have ended: nobody would answer.
func (c *Core) Stop() { c.queue <- stop{} }
