package proxy

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/balancer"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

const (
	// crossZonePenalty is the time that is worth spending so that a request doesn't leave its zone.
	crossZonePenalty = 15 * time.Millisecond
	// defaultProxyCount is the number of proxies that share an endpoint's connections, as long as nobody told it.
	defaultProxyCount = 8
	// minConnections is what a proxy may have to an endpoint in any case.
	minConnections = 2
	// maxQueued bounds the requests of one service that wait for a place.
	maxQueued = 512
	// timeoutShare is the part of its time after which a client that goes is taken to have waited to the end.
	timeoutShare = 0.9
)

// LoadBalancer is the Selector that decides by package schedule. It adds the clock, a lock, and the waiting for a place.
type LoadBalancer struct {
	now func() time.Duration

	mutex    sync.Mutex
	balancer *balancer.Balancer
	queues   map[string]*balancer.Queue
	waiting  map[uint64]*queuedWaiter
	lastID   uint64
	proxies  int
}

// queuedWaiter is a request that waits for a place.
type queuedWaiter struct {
	info      *RequestInfo
	expiresAt time.Duration     // when it is refused
	result    chan selectResult // holds the answer once the waiter has left its queue
}

// selectResult is what Select returns.
type selectResult struct {
	selection Selection
	err       error
}

// attemptTicket is the scheduler's own part of a choice.
type attemptTicket struct {
	balancer *LoadBalancer
	attempt  balancer.Attempt
	timeLeft time.Duration
}

// Granted implements upstream.Permit: an endpoint that began to drain, or whose version was withdrawn, while a connection
// was made gets nothing any more.
func (t *attemptTicket) Granted() bool {
	t.balancer.mutex.Lock()
	defer t.balancer.mutex.Unlock()
	return t.balancer.balancer.Eligible(&t.attempt)
}

// NewLoadBalancer returns a scheduler that knows no endpoint. The seed differs from proxy to proxy.
func NewLoadBalancer(zone string, seed uint64) *LoadBalancer {
	start := time.Now()
	return newLoadBalancer(zone, seed, func() time.Duration { return time.Since(start) })
}

func newLoadBalancer(zone string, seed uint64, now func() time.Duration) *LoadBalancer {
	return &LoadBalancer{
		now:      now,
		balancer: balancer.New(balancer.Options{Zone: zone, Seed: seed, CrossZonePenalty: crossZonePenalty}),
		queues:   make(map[string]*balancer.Queue),
		waiting:  make(map[uint64]*queuedWaiter),
		proxies:  defaultProxyCount,
	}
}

// SetEndpoints takes over the list of endpoints, which must not be changed afterwards.
func (s *LoadBalancer) SetEndpoints(endpoints []model.Endpoint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.SetEndpoints(s.now(), endpoints)
	s.dispatchAll()
}

// SetVersions takes over which versions of each service may take requests.
func (s *LoadBalancer) SetVersions(versions []view.ServiceVersions) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.SetVersions(versions)
	s.dispatchAll()
}

// SetProxies tells how many proxies share the connections that an endpoint takes.
func (s *LoadBalancer) SetProxies(count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.proxies = max(count, 1)
}

// Select implements Selector. Where all endpoints are full, a request that surely hasn't run waits for a part of its
// route's target time.
func (s *LoadBalancer) Select(ctx context.Context, facts *RequestInfo) (Selection, error) {
	s.mutex.Lock()
	queue := s.queues[facts.Service.Name]
	if queue == nil || queue.Len() == 0 {
		placed, full := s.trySelect(facts)
		if !full || facts.MayHaveRun {
			s.mutex.Unlock()
			return placed.selection, placed.err
		}
	}
	id, w, refusal := s.enqueue(facts)
	s.mutex.Unlock()
	if refusal != nil {
		return Selection{}, refusal
	}
	return s.await(ctx, id, w)
}

// trySelect asks for a decision, and counts the attempt as sent. The caller holds the mutex.
func (s *LoadBalancer) trySelect(facts *RequestInfo) (placed selectResult, full bool) {
	now := s.now()
	request := requestFor(facts)
	decision := s.balancer.Select(now, request)
	if decision.Endpoint == nil && len(facts.RejectedBy) > 0 {
		request.Excluded = subtract(facts.Excluded, facts.RejectedBy)
		decision = s.balancer.Select(now, request)
	}
	if decision.Endpoint == nil {
		return selectResult{err: rejectionOf(decision.Rejection)}, decision.Rejection.Kind == balancer.Saturated
	}
	t := &attemptTicket{balancer: s, attempt: decision.Attempt, timeLeft: request.TimeLeft}
	s.balancer.Sent(now, &t.attempt)
	choice := Selection{
		ID:             decision.Endpoint.ID,
		Address:        decision.Endpoint.Address,
		MaxConnections: s.maxConnectionsTo(facts.Service),
		Permit:         t,
		Ticket:         t,
	}
	if !decision.UntilDeadline {
		choice.Timeout = decision.Timeout
	}
	return selectResult{selection: choice}, false
}

// subtract returns the texts of a list that aren't in another one.
func subtract(list, other []string) []string {
	var rest []string
	for _, text := range list {
		if !contains(other, text) {
			rest = append(rest, text)
		}
	}
	return rest
}

// rejectionOf returns a refusal in the proxy's words.
func rejectionOf(refusal balancer.Rejection) *Rejection {
	kind := apierror.Overloaded
	switch refusal.Kind {
	case balancer.NoEndpoint:
		kind = apierror.NoEndpoint
	case balancer.DeadlineTooShort:
		kind = apierror.DeadlineTooShort
	}
	return &Rejection{Kind: kind, RetryAfter: refusal.RetryAfter}
}

// maxConnectionsTo returns this proxy's part of the connections that an endpoint of a service takes; 0: no bound.
func (s *LoadBalancer) maxConnectionsTo(service *model.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/s.proxies, minConnections)
}

// FirstEvent implements Selector.
func (s *LoadBalancer) FirstEvent(choice Selection, load string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.FirstEvent(s.now(), &choice.Ticket.(*attemptTicket).attempt, parseLoad(load))
}

// Done implements Selector.
func (s *LoadBalancer) Done(choice Selection, outcome Outcome) {
	t := choice.Ticket.(*attemptTicket)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.Done(s.now(), &t.attempt, balancer.Outcome{
		Kind:    outcomeKind(outcome, t.timeLeft),
		Elapsed: outcome.Took,
		Load:    parseLoad(outcome.Load),
		Tokens:  int(outcome.Tokens),
	})
	s.dispatchAll()
}

// outcomeKind returns the scheduler's word for an outcome.
func outcomeKind(outcome Outcome, left time.Duration) balancer.OutcomeKind {
	switch outcome.Result {
	case Succeeded:
		return balancer.Success
	case ErrorResponse:
		return balancer.ErrorStatus
	case NotRun:
		if outcome.Misdirected {
			return balancer.Misdirected
		}
		return balancer.NotRun
	case NeverSent:
		return balancer.ConnectFailure
	case TimedOut, DeadlineExceeded:
		return balancer.TimedOut
	case Cancelled:
		return balancer.NotSent
	case ClientClosed:
		if float64(outcome.Took) >= timeoutShare*float64(left) {
			return balancer.TimedOut
		}
		return balancer.Cancelled
	}
	return balancer.IncompleteResponse
}

// requestFor returns what the scheduler needs to know of a request.
func requestFor(facts *RequestInfo) balancer.Request {
	route := facts.Route
	prefix, own := promptTokens(facts)
	return balancer.Request{
		Service: facts.Service.Name,
		Route: balancer.Route{Name: route.Name, Priority: route.Priority, Kind: route.Kind, MaxAttempts: route.MaxAttempts,
			UsesAffinity: route.Affinity},
		Retryable:    retryable(route),
		TimeLeft:     time.Until(facts.Deadline),
		AttemptsUsed: facts.AttemptsUsed,
		MayHaveRun:   facts.MayHaveRun,
		AfterTimeout: facts.AfterTimeout,
		Excluded:     facts.Excluded,
		AffinityKey:  affinityKey(facts),
		PrefixTokens: prefix,
		NewTokens:    own,
		OutTokens:    int(facts.MaxOutputTokens),
	}
}

// affinityKey returns a hash of what a request goes on from; 0: nothing.
func affinityKey(facts *RequestInfo) uint64 {
	for _, key := range []string{facts.Program, facts.Session, facts.Subject} {
		if key != "" {
			return max(xxhash.Sum64String(key), 1)
		}
	}
	return 0
}

// promptTokens returns the tokens of the shared parts of a prompt, and those of its own part, which is the last one.
func promptTokens(facts *RequestInfo) (prefix, own int) {
	if facts.Prefix == "" {
		return 0, int(facts.PromptTokens)
	}
	for part := range strings.SplitSeq(facts.Prefix, ",") {
		_, count, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(strings.TrimSpace(count))
		if err != nil || tokens < 0 {
			return 0, int(facts.PromptTokens)
		}
		prefix += own
		own = tokens
	}
	return prefix, own
}

// parseLoad reads X-Server-Load: running, waiting, slots.
func parseLoad(told string) balancer.Load {
	if told == "" {
		return balancer.Load{}
	}
	running, rest, _ := strings.Cut(told, ",")
	waiting, slots, _ := strings.Cut(rest, ",")
	var load balancer.Load
	var failed [3]error
	load.Running, failed[0] = strconv.Atoi(strings.TrimSpace(running))
	load.Queued, failed[1] = strconv.Atoi(strings.TrimSpace(waiting))
	load.Capacity, failed[2] = strconv.Atoi(strings.TrimSpace(slots))
	if failed != [3]error{} {
		return balancer.Load{}
	}
	return load
}
