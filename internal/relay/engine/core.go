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
	settings       *wire.Settings
	limits         *config.Limits
	log            *slog.Logger
	policy         *control.Sender
	recorder       recorder         // nil: nothing is recorded
	moduleSettings control.Settings // what the module was told
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
	submitted          uint64              // messages handed in
	outstanding        int                 // notices

	moduleEvents     []control.Event // for the turn at hand
	moduleActions    []control.Action
	arrivals         []*message
	notifications    []func() // told to hooks once the turn is journalled
	endings          endings
	wakeAt           time.Time
	watchAt          time.Time
	drainAt          time.Time // when the process was told to end; zero: it was not
	lastHousekeeping time.Time // when what has grown old was last looked for
	turnInput        capture.Input
	recordedArrivals []capture.Arrival // that its events point to
	actionRefs       []uint64          // for the deed at hand
	keepActions      bool              // deeds are kept in full
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
	listReportedBy int               // the watch that told the newest list; 0: it was known at the start
	stopWatch      func()            // ends that watch; nil: it has ended
	outstanding    []Notice
	sending        []Notice
	cancelNotify   func() // ends the call with those; nil: none is out
	movedMeanwhile bool   // the front has moved while it was out
	retryAt        time.Time
	backoff        time.Duration // before the next try
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
	return &Core{moduleSettings: ModuleSettings(cfg), seed: cfg.Seed, settings: &cfg.Settings, forgetAfter: forget, limits: &cfg.Limits, log: log, policy: mod, journal: jour,
		queue: make(chan event, cfg.Limits.Queue), shell: goroutineShell{context.Background()}, startedAt: now, lastHousekeeping: now,
		fronts: map[string]*frontState{}, messages: map[uint64]*message{}, messagesByID: map[string]*message{},
		drained: make(chan struct{}), destinations: map[uint32]*Destination{}, destinationNumbers: map[string]uint32{}, inFlight: map[uint64]*Attempt{}}, nil
}

// AddFront makes a wire known under a name that stays the same across restarts, with its list as last known.
func (c *Core) AddFront(name string, f Front, known EndpointList) {
	st := &frontState{name: name, number: len(c.frontsInOrder), Front: f, listed: map[string]uint32{}}
	c.fronts[name] = st
	c.frontsInOrder = append(c.frontsInOrder, st)
	known.Complete = true
	listChanged{st, 0, known}.apply(c, c.startedAt)
}

// SetInspector sets who sees messages, answers and ends; it must be called before the fronts take messages.
func (c *Core) SetInspector(i Inspector) { c.inspector = i }

// SetShell has the core's calls made otherwise than on goroutines; it must be called before Restore.
func (c *Core) SetShell(s Shell) { c.shell = s }

// Restore takes up again what the journal holds: the module is told what happened before the restart.
func (c *Core) Restore(now time.Time) {
	for _, e := range c.journal.Entries() {
		f := c.fronts[e.Front]
		if f == nil {
			c.log.Warn("a message of a front that is off waits in the journal", "front", e.Front, "id", e.ID)
			continue
		}
		m := c.add(f, e)
		if e.NoticePending {
			c.addOutstanding(m, e.Notice)
			continue
		}
		if e.InFlight { // it was out when the process ended: it may have run
			c.journal.EndAttempt(e, false)
		}
		if e.Class < 0 || e.Class >= len(c.settings.Classes) { // of other settings: nothing says how it may be sent
			c.log.Warn("a message of a class that the settings no longer have is given up", "id", e.ID, "class", e.Class)
			c.addOutstanding(m, journal.Notice{})
			c.journal.EndWithNotice(e, e.Notice)
			continue
		}
		c.clampTimes(e, now)
		c.moduleEvents = append(c.moduleEvents, c.arrival(m))
	}
	if !c.settings.MustSubscribe {
		c.watchAt = now
	}
	c.Turn(now, c.drainQueue(nil)) // a capture that is on from the start has this turn too
	c.ready.Store(true)
}

// clampTimes takes what the journal tells of times for the narrower where the clock has gone back since: no message has more time than
// its class gives, and a window that began in what is now the future is over.
func (c *Core) clampTimes(e *journal.Entry, now time.Time) {
	k := &c.settings.Classes[e.Class]
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
func (c *Core) clock(t time.Time) time.Duration { return max(clockStart+t.Sub(c.startedAt), 1) }
