package control

import (
	"math/rand"
	"sort"
	"testing"
	"time"
)

// oracleMessage is what the oracle knows about a message.
type oracleMessage struct {
	arrival     Event
	seq         int // number in order of arrival
	attempts    int
	inFlight    bool
	mayHaveRun  []oracleSend // the attempts that may have run
	closed      bool
	withdrawnAt time.Duration
}

type oracleSend struct {
	endpoint Endpoint
	at       time.Duration
}

// oracleCall is an attempt in flight.
type oracleCall struct {
	id        uint64
	attempt   int
	endpoint  Endpoint
	sentAt    time.Duration
	answerAt  time.Duration
	resolveAt time.Duration // the answer, the time-out or the cancellation
	cancelled bool
}

// oracle simulates the endpoints and clients of one sender, and checks each of the sender's actions against the package's invariants.
// Routes are identified by the number of their destination, or by -1-ID if endpoints are separate routes.
type oracle struct {
	t             *testing.T
	seed          int64 // of the run, for failure messages
	settings      Settings
	endpoints     map[uint32]Endpoint
	messages      map[uint64]*oracleMessage
	calls         []*oracleCall
	waits         map[int]time.Duration    // by route: the end of the longest wait that it asked for
	blocked       map[uint64]time.Duration // by key: until when an attempt may still be running
	sends         map[int][]time.Duration  // by route
	arrivals      map[int][]time.Duration  // by destination
	failureStreak map[int]int              // by route
	backAt        map[int]time.Duration    // by route: its last failure after another one, the earliest time of its return
}

func newOracle(t *testing.T, seed int64, set Settings) *oracle {
	t.Helper()
	return &oracle{t: t, seed: seed, settings: set, endpoints: map[uint32]Endpoint{}, messages: map[uint64]*oracleMessage{},
		waits: map[int]time.Duration{}, blocked: map[uint64]time.Duration{}, sends: map[int][]time.Duration{},
		arrivals: map[int][]time.Duration{}, failureStreak: map[int]int{}, backAt: map[int]time.Duration{}}
}

func (o *oracle) routeOf(endpoint Endpoint) int {
	if o.settings.Kinds[endpoint.Kind].SeparateRoutes {
		return -1 - int(endpoint.ID)
	}
	return endpoint.Destination
}

// routes returns the number of separate routes of a destination, at least 1.
func (o *oracle) routes(destination int) (n int) {
	for _, endpoint := range o.endpoints {
		if endpoint.Destination == destination && o.settings.Kinds[endpoint.Kind].SeparateRoutes {
			n++
		}
	}
	return max(n, 1)
}

// check checks an action of the sender and carries it out.
func (o *oracle) check(now time.Duration, rng *rand.Rand, action Action) {
	o.t.Helper()
	msg := o.messages[action.ID]
	switch action.Kind {
	case Send:
		o.checkSend(now, msg, action)
		o.startCall(now, rng, msg, action)
	case Refuse, Fail:
		o.checkEnd(now, msg, action)
	case Cancel:
		for _, call := range o.calls {
			if call.id == action.ID && call.attempt == action.Attempt {
				call.cancelled, call.resolveAt = true, now+5*time.Millisecond
			}
		}
	}
}

func (o *oracle) checkSend(now time.Duration, msg *oracleMessage, action Action) {
	o.t.Helper()
	class := o.settings.Classes[msg.arrival.Class]
	endpoint, listed := o.endpoints[action.Endpoint]
	switch {
	case msg.closed:
		o.t.Fatalf("%v: sent after its final answer", action)
	case msg.inFlight:
		o.t.Fatalf("%v: two attempts in flight", action)
	case msg.attempts >= o.settings.MaxAttempts:
		o.t.Fatalf("%v: more than MaxAttempts attempts", action)
	case !listed || endpoint.State != Ready:
		o.t.Fatalf("%v: sent to an endpoint that is draining or removed", action)
	case endpoint.Destination != msg.arrival.Destination:
		o.t.Fatalf("%v: the endpoint belongs to another destination", action)
	case o.waits[o.routeOf(endpoint)] > now:
		o.t.Fatalf("%v: sent before the end of a wait", action)
	case class.Effect == Unsafe && len(msg.mayHaveRun) > 0:
		o.t.Fatalf("%v: unsafe message sent again", action)
	case action.Duration <= 0 || now+action.Duration > msg.arrival.Deadline:
		o.t.Fatalf("%v: time-out is not positive, or ends after the deadline", action)
	}
	if class.Effect == Keyed && len(msg.mayHaveRun) > 0 {
		first := msg.mayHaveRun[0]
		if now >= first.at+class.DedupWindow || class.DedupScope == DedupPerZone && endpoint.Zone != first.endpoint.Zone ||
			class.DedupScope == DedupPerEndpoint && endpoint.ID != first.endpoint.ID {
			o.t.Fatalf("%v: keyed message outside its group or window", action)
		}
	}
	if class.InOrder && msg.arrival.Key != 0 {
		o.checkOrder(now, msg, action)
	}
	o.sends[o.routeOf(endpoint)] = append(o.sends[o.routeOf(endpoint)], now)
	o.checkSlowStart(action, o.routeOf(endpoint), now)
}

func (o *oracle) checkOrder(now time.Duration, msg *oracleMessage, action Action) {
	o.t.Helper()
	for _, other := range o.messages {
		if other != msg && other.arrival.Key == msg.arrival.Key && other.seq < msg.seq && (!other.closed || other.inFlight) &&
			o.settings.Classes[other.arrival.Class].InOrder {
			o.t.Fatalf("%v: sent before an earlier message of its key is done", action)
		}
	}
	if msg.attempts == 0 && o.blocked[msg.arrival.Key] > now {
		o.t.Fatalf("%v: an attempt of its key may still be running", action)
	}
}

// checkSlowStart checks that a returning destination is not overloaded. After consecutive failures, the messages sent within
// OverloadWindow must stay below OverloadMultiple times the returned share of the best earlier rate, plus two probes.
func (o *oracle) checkSlowStart(action Action, route int, now time.Duration) {
	o.t.Helper()
	back, failed := o.backAt[route]
	if !failed || now-back > o.settings.OverloadWindow || o.settings.SlowStart == 0 {
		return
	}
	endpoint := o.endpoints[action.Endpoint]
	best, sent := 0, 0.0
	for i, at := range o.sends[route] {
		if at > back && i > 0 && o.sends[route][i-1] == at && o.settings.Kinds[endpoint.Kind].MaxMessagesPerCall > 1 {
			sent += batchedMessageCost // a further message in the same call
			continue
		} else if at > back {
			sent++
			continue
		}
		window := 0
		for _, later := range o.sends[route][i:] {
			if later <= back && later-at <= o.settings.OverloadWindow {
				window++
			}
		}
		best = max(best, window)
	}
	// If the route has failed from the start, use the rate of arrivals instead.
	arrivals := o.arrivals[endpoint.Destination]
	asked := 0
	for _, at := range arrivals[max(0, len(arrivals)-400):] {
		if back-at >= 0 && back-at <= o.settings.OverloadWindow {
			asked++
		}
	}
	best = max(best, asked/o.routes(endpoint.Destination))
	share := o.settings.SlowStartShare + (1-o.settings.SlowStartShare)*float64(o.settings.OverloadWindow)/float64(o.settings.SlowStart)
	if limit := 2 + o.settings.OverloadMultiple*share*float64(max(best, 1)); sent > limit {
		o.t.Fatalf("%v: %.1f sent to route %d within %v of its failures, want at most %.1f", action, sent, route, now-back, limit)
	}
}

// startCall draws when a call is answered; some calls hang.
func (o *oracle) startCall(now time.Duration, rng *rand.Rand, msg *oracleMessage, action Action) {
	msg.inFlight = true
	answerAt := now + time.Duration(50+rng.Intn(1500))*time.Millisecond
	if rng.Intn(60) == 0 {
		answerAt = now + time.Hour
	}
	o.calls = append(o.calls, &oracleCall{id: action.ID, attempt: msg.attempts, endpoint: o.endpoints[action.Endpoint],
		sentAt: now, answerAt: answerAt, resolveAt: min(answerAt, now+action.Duration)})
	msg.attempts++
}

func (o *oracle) checkEnd(now time.Duration, msg *oracleMessage, action Action) {
	o.t.Helper()
	if msg.withdrawnAt == now && now > 0 {
		return // answered in the Step in which the client withdrew it
	}
	if msg.closed || msg.inFlight {
		o.t.Fatalf("%v: second final answer, or an attempt is in flight", action)
	}
	class := o.settings.Classes[msg.arrival.Class]
	if action.Kind == Refuse && len(msg.mayHaveRun) > 0 &&
		(class.Effect == Unsafe || class.Effect == Keyed && class.DedupScope != DedupPerDestination) {
		o.t.Fatalf("%v: Refuse for a message that may have run and must not be submitted again", action)
	}
	msg.closed = true
}

// resolve ends a call with a random result, and returns the event. Destinations take turns of five seconds to fail.
func (o *oracle) resolve(now time.Duration, rng *rand.Rand, call *oracleCall) Event {
	msg, route := o.messages[call.id], o.routeOf(call.endpoint)
	event := Event{Kind: Resolved, ID: call.id, Attempt: call.attempt, Endpoint: call.endpoint.ID, Elapsed: now - call.sentAt}
	failing := int(now/(5*time.Second))%4 == call.endpoint.Destination
	switch {
	case call.cancelled:
		event.Result = Cancelled
	case call.answerAt > call.resolveAt:
		event.Result = TimedOut
	case failing || rng.Intn(12) == 0:
		event.Result = []Result{Errored, Throttled, NoConnection, Reset, NotProcessed, Unknown, Result(99)}[rng.Intn(7)]
	}
	if event.Result == Throttled && rng.Intn(2) == 0 {
		event.RetryAfter = time.Duration(rng.Intn(4000)) * time.Millisecond
		o.waits[route] = max(o.waits[route], now+event.RetryAfter)
	}
	msg.inFlight = false
	switch event.Result {
	case Errored, NoConnection, Unknown, Result(99): // a reset may concern a single connection only
		if o.failureStreak[route]++; o.failureStreak[route] >= 2 {
			o.backAt[route] = now
		}
	case Delivered:
		o.failureStreak[route] = 0
	}
	switch event.Result {
	case Delivered:
		msg.closed = true
	case Throttled, NoConnection, NotProcessed:
	default:
		msg.mayHaveRun = append(msg.mayHaveRun, oracleSend{call.endpoint, call.sentAt})
		if event.Result != Errored && o.settings.Classes[msg.arrival.Class].InOrder {
			o.blocked[msg.arrival.Key] = now + o.settings.InDoubtDelay
		}
	}
	event.Final = msg.closed
	return event
}

// resolveDue ends the calls that are due, in the order of their resolve times.
func (o *oracle) resolveDue(now time.Duration, rng *rand.Rand) (events []Event) {
	sort.SliceStable(o.calls, func(i, j int) bool { return o.calls[i].resolveAt < o.calls[j].resolveAt })
	for len(o.calls) > 0 && o.calls[0].resolveAt <= now {
		call := o.calls[0]
		o.calls = o.calls[1:]
		events = append(events, o.resolve(now, rng, call))
	}
	return events
}

// checkAnswered checks that each message has a final answer soon after its deadline, and that each call of an answered message is
// resolved.
func (o *oracle) checkAnswered(now time.Duration, lastID uint64) {
	o.t.Helper()
	for id := uint64(1); id <= lastID; id++ {
		if msg := o.messages[id]; !msg.closed && now > msg.arrival.Deadline+20*time.Millisecond {
			o.t.Fatalf("seed %d: message %d has no answer %v after its deadline", o.seed, id, now-msg.arrival.Deadline)
		}
	}
	for _, call := range o.calls {
		if msg := o.messages[call.id]; msg.closed && call.resolveAt < now-time.Second {
			o.t.Fatalf("seed %d: the call of message %d is never resolved", o.seed, call.id)
		}
	}
}
