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

// clockStart is the module's time when the process starts. Module times can't be negative: the offset leaves room for what happened to
// resumed messages before the start.
const clockStart = 24 * time.Hour

// Core is the relay's core; see the package comment.
//
// Only the goroutine that calls Run (in simulations: Step) may access its fields, except queue, ready, publishedMandate and drained.
// Submit, SubmitAt, Withdraw, Ready, SetMandate, GrantQuota, Observe, Record, DiscoveryMoved, Drain, Drained and Stop may be called from any
// goroutine: they either post an event to the queue, and block while it is full, or read an atomic value. All other methods must be called
// before Run, or by its goroutine.
type Core struct {
	settings       *wire.Settings
	limits         *config.Limits
	log            *slog.Logger
	policy         *control.Sender
	recorder       recorder         // nil if nothing is recorded
	moduleSettings control.Settings // as passed to the module; see ModuleSettings
	seed           uint64
	journal        Journal
	shell          Shell
	inspector      Inspector // may be nil
	queue          chan event

	startedAt          time.Time // when the process started
	fronts             map[string]*frontState
	frontsInOrder      []*frontState
	messages           map[uint64]*message
	messagesByID       map[string]*message // by front name and message id
	destinations       map[uint32]*Destination
	destinationNumbers map[string]uint32 // by front name and destination name
	lastDestination    uint32
	lastRef            uint64
	forgetAfter        time.Duration // how long after its removal a destination may still have unfinished attempts
	lastAttempt        uint64
	inFlight           map[uint64]*Attempt // by attempt number
	submitted          uint64              // messages submitted so far
	outstanding        int                 // notices of all fronts that are not accepted yet

	moduleEvents     []control.Event  // for the module's next step
	moduleActions    []control.Action // of the module's last step
	arrivals         []*message       // accepted or refused by the module in the current turn, not answered yet
	notifications    []func()         // called once the current turn is journalled
	ended            endedMessages
	wakeAt           time.Time         // when the module asked for a Woken event; zero if it did not
	watchAt          time.Time         // when watches are to be started; zero if none is due
	drainAt          time.Time         // when draining started; zero if it has not
	lastHousekeeping time.Time         // when housekeep last ran
	turnInput        capture.Input     // the record of the current turn
	recordedArrivals []capture.Arrival // backing array of the arrivals in turnInput.Events
	actionRefs       []uint64          // reused buffer for the action being recorded
	keepActions      bool              // keep actions in full, not only their checksum; set in a replay
	ready            atomic.Bool       // Restore has returned and Drain has not been called
	drained          chan struct{}     // see Drained
	closed           bool              // drained is closed
	stopped          bool              // Run returns after this turn

	counters         counters                     // nil until Observe is called
	mandate          *capture.Mandate             // what the fleet permits this relay to do; nil if it belongs to none
	awaitingLease    []*Attempt                   // attempts that wait until the relay may act, oldest first
	publishedMandate atomic.Pointer[frontMandate] // the mandate as the fronts' goroutines see it; set before the core applies the mandate
}

// frontState is the core's state of one front. Only the core's goroutine may access it.
type frontState struct {
	name              string
	number            int
	Front             Front
	listed            map[string]uint32 // numbers of its destinations, by name
	listIndex         int64             // index of the newest endpoint list
	lastWatch         int               // number of the watch that was started last
	listReportedBy    int               // number of the watch that reported the newest list; 0 if that is the list known at the start
	stopWatch         func()            // ends the watch; nil if none is running
	outstanding       []Notice          // notices to be sent, oldest first
	sending           []Notice          // notices of the Notify call in flight
	cancelNotify      func()            // cancels the Notify call; nil if none is in flight
	movedDuringNotify bool              // discovery has moved during the Notify call in flight
	retryAt           time.Time         // no notices are sent before that
	backoff           time.Duration     // delay before the next Notify call after a failed one
}

// event is posted to the core's queue by any goroutine, and applied by the core's goroutine in its next turn.
type event interface{ apply(c *Core, now time.Time) }

// ModuleSettings returns the decision module's settings: those of the configuration with each class' deduplication window shortened by
// Limits.WindowMargin. The module measures the window between its decisions, a partner between arrivals; a retry on a new connection
// arrives some time after it was decided.
func ModuleSettings(cfg *config.Config) control.Settings {
	settings := cfg.Settings.Settings
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		settings.Classes[i].DedupWindow = max(settings.Classes[i].DedupWindow-cfg.Limits.WindowMargin, 0)
	}
	return settings
}

// New returns a core that uses journal, whose messages Restore resumes; now is the start of the core's clock. Fronts must be added before
// Restore and Run. It fails if the decision module rejects the settings.
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

// AddFront adds a front under a name that must stay the same across restarts, with its last known complete endpoint list. It must be called
// before Restore. A replay must add the fronts in the same order.
func (c *Core) AddFront(name string, front Front, known EndpointList) {
	f := &frontState{name: name, number: len(c.frontsInOrder), Front: front, listed: map[string]uint32{}}
	c.fronts[name] = f
	c.frontsInOrder = append(c.frontsInOrder, f)
	known.Complete = true
	listChanged{f, 0, known}.apply(c, c.startedAt)
}

// SetInspector sets the inspector; it must be called before the fronts submit messages.
func (c *Core) SetInspector(inspector Inspector) { c.inspector = inspector }

// SetShell replaces the shell, which makes calls on goroutines by default; it must be called before Restore.
func (c *Core) SetShell(shell Shell) { c.shell = shell }

// Restore resumes the messages of the journal, in the order in which they were accepted, and takes the first turn, which tells the module
// what happened before the restart. New messages are accepted once it returns. It must be called once, before Run.
func (c *Core) Restore(now time.Time) {
	for _, e := range c.journal.Entries() {
		c.restoreEntry(e, now)
	}
	if !c.settings.MustSubscribe {
		c.watchAt = now
	}
	c.Turn(now, c.drainQueue(nil)) // a capture that is enabled from the start includes this turn
	c.ready.Store(true)
}

// restoreEntry resumes one message. If its class no longer exists, the message is given up; if its front is disabled, it stays in the
// journal.
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
	if e.InFlight { // in flight when the process ended: it may have run
		c.journal.EndAttempt(e, false)
	}
	if e.Class < 0 || e.Class >= len(c.settings.Classes) { // accepted under other settings: how it may be sent is unknown
		c.log.Warn("giving up message of a class that the settings no longer have", "id", e.ID, "class", e.Class)
		c.addOutstanding(m, journal.Notice{})
		c.journal.EndWithNotice(e, e.Notice)
		return
	}
	c.clampTimes(e, now)
	c.moduleEvents = append(c.moduleEvents, c.arrivedEvent(m))
}

// clampTimes corrects times in the journal that a clock set back since has moved into the future: a deadline is no later than the class
// permits, and a deduplication window that seems to start in the future counts as over.
func (c *Core) clampTimes(e *journal.Entry, now time.Time) {
	class := &c.settings.Classes[e.Class]
	if latest := now.Add(class.Deadline); e.Deadline.After(latest) {
		e.Deadline = latest
	}
	if e.MayHaveRun && e.MayHaveRunAt.After(now) {
		e.MayHaveRunAt = now.Add(-class.DedupWindow)
	}
}

// Ready reports whether new messages are accepted: the core is restored, is not draining and, in a fleet, has a lease.
func (c *Core) Ready() bool { return c.ready.Load() && c.hasLease() }

// moduleTime returns t on the module's clock, on which 0 means "none": it never returns 0.
func (c *Core) moduleTime(t time.Time) time.Duration { return max(clockStart+t.Sub(c.startedAt), 1) }
