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

// clockStart is the module's time when the process starts: late enough for all that happened to a message before that, since the module
// knows no time before 0.
const clockStart = 24 * time.Hour

// Core is the relay's core; see the package comment.
//
// Its fields belong to the goroutine that runs Run (or calls Step: simulations), but for queue, ready, mandate and drained. Submit, SubmitAt,
// Withdraw, Ready, Govern, GrantQuota, Observe, Record, DiscoveryMoved, Drain, Drained and Stop may be called from any goroutine: they post
// an event to the queue, and block while it is full, or read an atomic value. All others must be called before Run, or by its goroutine.
type Core struct {
	settings       *wire.Settings
	limits         *config.Limits
	log            *slog.Logger
	policy         *control.Sender
	recorder       recorder         // nil: nothing is recorded
	moduleSettings control.Settings // the ones that the module has; see ModuleSettings
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
	forgetAfter        time.Duration // after which nothing of a removed destination can be unfinished
	lastAttempt        uint64
	inFlight           map[uint64]*Attempt // by number
	submitted          uint64              // messages submitted so far
	outstanding        int                 // notices of all fronts that no client has accepted yet

	moduleEvents     []control.Event  // for the module's next step
	moduleActions    []control.Action // of the module's last step
	arrivals         []*message       // accepted or refused by the module in the current turn, not answered yet
	notifications    []func()         // called once the current turn is journalled
	endings          endings
	wakeAt           time.Time         // when the module asked to be called; zero: it did not
	watchAt          time.Time         // when watches are to be started; zero: none is due
	drainAt          time.Time         // when Drain took hold; zero: it did not
	lastHousekeeping time.Time         // when housekeep last did its work
	turnInput        capture.Input     // the record of the current turn
	recordedArrivals []capture.Arrival // that its events point to
	actionRefs       []uint64          // buffer for the action that is being recorded
	keepActions      bool              // actions are kept in full, for a replay
	ready            atomic.Bool       // Restore has returned and Drain was not called
	drained          chan struct{}     // see Drained
	closed           bool              // drained is closed
	stopped          bool              // this turn is the last

	counters      counters                     // nil: nobody has called Observe yet
	governor      *capture.Mandate             // what the fleet lets this relay do; nil: it belongs to none
	awaitingLease []*Attempt                   // that wait until the relay may act, oldest first
	mandate       atomic.Pointer[frontMandate] // governor for the fronts' goroutines, set before the governor is
}

// frontState is what the core keeps for a front. It belongs to the core's goroutine.
type frontState struct {
	name           string
	number         int
	Front          Front
	listed         map[string]uint32 // numbers of its destinations, by name
	listIndex      int64             // of the newest endpoint list
	lastWatch      int               // number of the watch that was started last
	listReportedBy int               // the watch that reported the newest list; 0: it was known at the start
	stopWatch      func()            // ends that watch; nil: it has ended
	outstanding    []Notice          // those to be sent, oldest first
	sending        []Notice          // those of the call in flight
	cancelNotify   func()            // ends the call with those; nil: none is in flight
	movedMeanwhile bool              // discovery has moved while it was in flight
	retryAt        time.Time         // before which no notices are sent
	backoff        time.Duration     // before the next attempt to notify
}

// event is what the other goroutines post to the core's queue; the core's goroutine applies it in its next turn.
type event interface{ apply(c *Core, now time.Time) }

// ModuleSettings returns the settings of a configuration as the module gets them: with each class' window of deduplication shortened by
// Limits.WindowMargin. The module counts a window from one decision to the next; a partner counts it between arrivals, and a repeat on a new
// connection arrives later than it was decided.
func ModuleSettings(cfg *config.Config) control.Settings {
	settings := cfg.Settings.Settings
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		settings.Classes[i].Memory = max(settings.Classes[i].Memory-cfg.Limits.WindowMargin, 0)
	}
	return settings
}

// New returns a core on a journal, whose messages Restore resumes; now is the start of its clock. Fronts must be added before Restore and
// Run. It fails where the decision module rejects the settings.
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

// AddFront adds a wire under a name that stays the same across restarts, with its complete endpoint list as last known. It must be called
// before Restore; the order of the calls must be the same in a replay.
func (c *Core) AddFront(name string, front Front, known EndpointList) {
	f := &frontState{name: name, number: len(c.frontsInOrder), Front: front, listed: map[string]uint32{}}
	c.fronts[name] = f
	c.frontsInOrder = append(c.frontsInOrder, f)
	known.Complete = true
	listChanged{f, 0, known}.apply(c, c.startedAt)
}

// SetInspector sets who sees messages, answers and ends; it must be called before the fronts submit messages.
func (c *Core) SetInspector(inspector Inspector) { c.inspector = inspector }

// SetShell replaces the shell, which makes calls on goroutines by default; it must be called before Restore.
func (c *Core) SetShell(shell Shell) { c.shell = shell }

// Restore resumes the messages of the journal, in the order in which they were accepted, and takes the first turn, in which the module
// learns what happened before the restart. New messages are accepted once it returns; it must be called once, before Run.
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

// restoreEntry resumes one message. One that can no longer be sent has ended; one of a front that is off stays in the journal.
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

// clampTimes bounds the journal's times where the clock has been set back since: no message has more time than its class gives, and a window
// that began in what is now the future is over.
func (c *Core) clampTimes(e *journal.Entry, now time.Time) {
	class := &c.settings.Classes[e.Class]
	if latest := now.Add(class.Deadline); e.Deadline.After(latest) {
		e.Deadline = latest
	}
	if e.MayHaveRun && e.MayHaveRunAt.After(now) {
		e.MayHaveRunAt = now.Add(-class.Memory)
	}
}

// Ready reports whether new messages are accepted: the core is restored and does not drain, and has a lease where it belongs to a fleet.
func (c *Core) Ready() bool { return c.ready.Load() && c.leased() }

// clock returns t on the module's clock, which never reads 0: there a 0 means "none".
func (c *Core) clock(t time.Time) time.Duration { return max(clockStart+t.Sub(c.startedAt), 1) }
