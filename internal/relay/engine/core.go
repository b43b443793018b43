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

// Core is the relay's core; see the package comment. It owns the module. All but Submit, Withdraw, Drain and Ready belong to the goroutine that runs Run (or
// calls Turn: tests and replays). It reads no clock in a turn, and walks no map in an order that counts.
type Core struct {
	settings       *wire.Settings
	limits         *config.Limits
	log            *slog.Logger
	policy         *control.Sender
	recorder       recorder         // nil: nothing is recorded
	moduleSettings control.Settings // those that the module has
	seed           uint64
	journal        Journal
	shell          Shell
	inspector      Inspector // nil: none
	queue          chan event

	startedAt          time.Time // when the process started
	fronts             map[string]*frontState
	frontsInOrder      []*frontState
	messages           map[uint64]*message
	messagesByID       map[string]*message // by front and id
	destinations       map[uint32]*Destination
	destinationNumbers map[string]uint32 // numbers of destinations, by front and name
	lastDestination    uint32
	lastRef            uint64
	forgetAfter        time.Duration // after which nothing of a destination that is gone can be unfinished
	lastAttempt        uint64
	inFlight           map[uint64]*Attempt // by number
	submitted          uint64              // messages submitted so far
	outstanding        int                 // notices, of all fronts

	moduleEvents     []control.Event // for the turn at hand
	moduleActions    []control.Action
	arrivals         []*message
	notifications    []func() // called once the turn is journalled
	endings          endings
	wakeAt           time.Time
	watchAt          time.Time
	drainAt          time.Time // when Drain took hold; zero: it did not
	lastHousekeeping time.Time // when housekeep last did its work
	turnInput        capture.Input
	recordedArrivals []capture.Arrival // that its events point to
	actionRefs       []uint64          // for the action at hand
	keepActions      bool              // actions are kept in full, for a replay
	ready            atomic.Bool
	drained          chan struct{}
	closed           bool // drained is closed
	stopped          bool // this turn is the last

	counters      counters         // nil: nobody asks
	governor      *capture.Mandate // what the fleet lets this relay do; nil: it belongs to none
	awaitingLease []*Attempt       // that wait until it may act
	mandate       atomic.Pointer[frontMandate]
}

// frontState is what the core keeps for a front.
type frontState struct {
	name           string
	number         int
	Front          Front
	listed         map[string]uint32 // its destinations
	listIndex      int64             // of the newest endpoint list
	lastWatch      int               // of the watch that was begun last
	listReportedBy int               // the watch that reported the newest list; 0: it was known at the start
	stopWatch      func()            // ends that watch; nil: it has ended
	outstanding    []Notice
	sending        []Notice
	cancelNotify   func() // ends the call with those; nil: none is out
	movedMeanwhile bool   // the front has moved while it was out
	retryAt        time.Time
	backoff        time.Duration // before the next attempt to notify
}

// event is what socket code hands to the core.
type event interface{ apply(c *Core, now time.Time) }

// ModuleSettings is what the module is told of a configuration's settings. It counts a window from one decision to the next; a
// partner counts it between arrivals, and a repeat on a new connection arrives later than it was decided.
func ModuleSettings(cfg *config.Config) control.Settings {
	settings := cfg.Settings.Settings
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		settings.Classes[i].Memory = max(settings.Classes[i].Memory-cfg.Limits.WindowMargin, 0)
	}
	return settings
}

// New returns a core on a journal, whose messages Restore takes up again; now is the start of its clock. Fronts must be added before
// Restore and Run.
func New(cfg *config.Config, journal Journal, logger *slog.Logger, now time.Time) (*Core, error) {
	settings := ModuleSettings(cfg)
	policy, err := control.New(settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	forgetAfter := time.Second
	for _, class := range settings.Classes {
		forgetAfter = max(forgetAfter, class.Deadline+time.Second)
	}
	return &Core{
		settings: &cfg.Settings, limits: &cfg.Limits, moduleSettings: ModuleSettings(cfg), seed: cfg.Seed,
		log: logger, policy: policy, journal: journal, shell: goroutineShell{context.Background()},
		queue: make(chan event, cfg.Limits.Queue), drained: make(chan struct{}),
		startedAt: now, lastHousekeeping: now, forgetAfter: forgetAfter,
		fronts: map[string]*frontState{}, messages: map[uint64]*message{}, messagesByID: map[string]*message{},
		destinations: map[uint32]*Destination{}, destinationNumbers: map[string]uint32{}, inFlight: map[uint64]*Attempt{},
	}, nil
}

// AddFront makes a wire known under a name that stays the same across restarts, with its list as last known.
func (c *Core) AddFront(name string, front Front, known EndpointList) {
	f := &frontState{name: name, number: len(c.frontsInOrder), Front: front, listed: map[string]uint32{}}
	c.fronts[name] = f
	c.frontsInOrder = append(c.frontsInOrder, f)
	known.Complete = true
	listChanged{f, 0, known}.apply(c, c.startedAt)
}

// SetInspector sets who sees messages, answers and ends; it must be called before the fronts take messages.
func (c *Core) SetInspector(i Inspector) { c.inspector = i }

// SetShell has the core's calls made otherwise than on goroutines; it must be called before Restore.
func (c *Core) SetShell(s Shell) { c.shell = s }

// Restore takes up again what the journal holds, in the order in which it was taken on, and takes the first turn: the module is told
// what happened before the restart. New messages are accepted once it returns.
func (c *Core) Restore(now time.Time) {
	for _, e := range c.journal.Entries() {
		c.restoreEntry(e, now)
	}
	if !c.settings.MustSubscribe {
		c.watchAt = now
	}
	c.Turn(now, c.drainQueue(nil)) // a capture that is on from the start has this turn too
	c.ready.Store(true)
}

// restoreEntry takes one message up again. What can no longer be sent has ended; what is of a front that is off stays in the journal.
func (c *Core) restoreEntry(e *journal.Entry, now time.Time) {
	f := c.fronts[e.Front]
	if f == nil {
		c.log.Warn("journal keeps message of a front that is off", "front", e.Front, "id", e.ID)
		return
	}
	m := c.add(f, e)
	if e.NoticePending {
		c.addOutstanding(m, e.Notice)
		return
	}
	if e.InFlight { // it was out when the process ended: it may have run
		c.journal.EndAttempt(e, false)
	}
	if e.Class < 0 || e.Class >= len(c.settings.Classes) { // of other settings: nothing says how it may be sent
		c.log.Warn("giving up message of a class that the settings no longer have", "id", e.ID, "class", e.Class)
		c.addOutstanding(m, journal.Notice{})
		c.journal.EndWithNotice(e, e.Notice)
		return
	}
	c.clampTimes(e, now)
	c.moduleEvents = append(c.moduleEvents, c.arrival(m))
}

// clampTimes takes what the journal tells of times for the narrower where the clock has gone back since: no message has more time than
// its class gives, and a window that began in what is now the future is over.
func (c *Core) clampTimes(e *journal.Entry, now time.Time) {
	class := &c.settings.Classes[e.Class]
	if latest := now.Add(class.Deadline); e.Deadline.After(latest) {
		e.Deadline = latest
	}
	if e.MayHaveRun && e.MayHaveRunAt.After(now) {
		e.MayHaveRunAt = now.Add(-class.Memory)
	}
}

// Ready tells whether new messages are taken on.
func (c *Core) Ready() bool { return c.ready.Load() && c.leased() }

// clock is t on the module's clock.
func (c *Core) clock(t time.Time) time.Duration { return max(clockStart+t.Sub(c.startedAt), 1) }
