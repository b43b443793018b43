package control

import (
	"slices"
	"time"
)

// Sender makes the decisions for one sender. It is not safe for concurrent use.
type Sender struct {
	settings        Settings
	longestDeadline time.Duration // of all classes, at least one second
	bounds          []float64     // upper bounds of the buckets of all latency tables, in seconds
	rngState        uint64
	now             time.Duration
	steps           uint64 // number of Steps, including the current one
	actions         []Action

	destinations     map[int]*destinationState
	destinationOrder []*destinationState // in the order in which they became known; deterministic, unlike iterating over the map
	endpoints        map[uint32]*endpointState
	active           []*destinationState // destinations with a message queued or in flight

	messages     map[uint64]*message
	lastSeq      uint64
	openMessages int // messages without a final answer
	keyQueues    map[uint64]*keyQueue
	candidates   []*message // scratch space of dispatch

	slotsInUse       int
	callsToUnhealthy int  // calls in flight to routes that only get probes
	slotStarved      bool // a message could have been sent but for lack of a slot

	retryBudget  float64
	retryTimes   [2]float64 // seconds that retries took, and that the plan expected of them; both decayed
	allLatencies latencyTable

	kinds         []kindState // by kind; the last one is for endpoints of unlisted kinds
	idleEndpoints []*endpointState
	quotas        []tenantQuota // by tenant
	lease         *lease        // nil: limits are not shared

	wakeAt           time.Duration
	subscribeAt      time.Duration // when to request the list, plus 1 ns; 0: subscribed, or an answer is pending
	subscribeBackoff time.Duration
}

// New returns a sender in its initial state. Senders of one service must have different seeds, so that their random choices don't
// coincide. The error is a [SettingError] for the first setting with an invalid value.
func New(set Settings, seed uint64) (*Sender, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	longest := time.Second
	for _, class := range set.Classes {
		longest = max(longest, class.Deadline)
	}
	s := &Sender{settings: set, longestDeadline: longest, rngState: seed,
		destinations: map[int]*destinationState{}, endpoints: map[uint32]*endpointState{},
		messages: map[uint64]*message{}, keyQueues: map[uint64]*keyQueue{},
		kinds: slices.Repeat([]kindState{{retryGap: initialRetryGap}}, len(set.Kinds)+1), retryBudget: maxRetryBudget / 2}
	s.bounds = bucketBounds(longest.Seconds())
	s.allLatencies.counts = make([]float64, len(s.bounds))
	for _, tenant := range set.Tenants {
		s.quotas = append(s.quotas, tenantQuota{rate: tenant.Quota / float64(set.Peers), tokens: initialQuotaTokens, total: tenant.Quota})
	}
	return s, nil
}

// Step applies events and appends the resulting actions to out. If now is before the time of the last Step, that time is used instead.
// The caller must call Step at each event and, at the latest, at the time of the last Wake.
func (s *Sender) Step(now time.Duration, events []Event, out []Action) []Action {
	s.now, s.actions, s.steps = max(s.now, now), out, s.steps+1
	for i := range events {
		s.apply(&events[i])
	}
	s.subscribe()
	s.updateHealth()
	s.dispatch()
	s.scheduleWake()
	out, s.actions = s.actions, nil
	return out
}

func (s *Sender) apply(event *Event) {
	switch event.Kind {
	case Listed:
		s.applyList(event)
	case ListFailed:
		s.scheduleSubscribe()
	case Arrived:
		s.applyArrival(event)
	case Resolved:
		s.applyOutcome(event)
	case Withdrawn:
		s.applyWithdrawal(event)
	case SharedLimitsUpdated:
		s.applySharedLimits(event.Shared)
	}
}

// Reconfigure changes the values of classes and the quotas of tenants (messages a second over all senders). Classes and tenants beyond
// the end of the lists stay as they are. Messages that have arrived keep their value.
func (s *Sender) Reconfigure(values, quotas []float64) {
	for i := range min(len(values), len(s.settings.Classes)) {
		s.settings.Classes[i].Value = values[i]
	}
	for i := range min(len(quotas), len(s.quotas)) {
		quota := &s.quotas[i]
		quota.total, quota.rate = quotas[i], quotas[i]/float64(s.settings.Peers)
		if s.lease != nil {
			quota.rate = quotas[i] * s.share(quota.extraShare)
		}
	}
}

// random returns the next number in [0, 1) of the sender's own sequence (SplitMix64).
func (s *Sender) random() float64 {
	s.rngState += 0x9e3779b97f4a7c15
	z := s.rngState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
