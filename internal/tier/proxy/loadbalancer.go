package proxy

import (
	"context"
	"slices"
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
	// crossZonePenalty is the extra latency worth accepting to keep a request in its zone.
	crossZonePenalty = 15 * time.Millisecond
	// defaultProxyCount is the number of proxies that share an endpoint's connections until SetProxies is called.
	defaultProxyCount = 8
	// minConnections is the lowest limit on a proxy's connections to an endpoint.
	minConnections = 2
	// timeoutFraction is the fraction of a request's time after which a client that closes its connection is assumed to have timed out.
	timeoutFraction = 0.9
)

// LoadBalancer is the Selector built on package balancer. It adds the clock, a lock, and the goroutines that wait in the queues. It is
// safe for concurrent use.
type LoadBalancer struct {
	now func() time.Duration

	mutex    sync.Mutex // guards the fields below and the balancer's state
	balancer *balancer.Balancer
	queues   map[string]*balancer.Queue
	waiting  map[uint64]*queuedWaiter // by ID of the queued request
	lastID   uint64
	proxies  int
}

// attemptTicket is the Ticket of a selection: the balancer's state of the attempt.
type attemptTicket struct {
	loadBalancer *LoadBalancer
	attempt      balancer.Attempt
	timeLeft     time.Duration
}

// Granted implements upstream.Permit: an endpoint that began to drain, or whose version was withdrawn, while the connection was being
// established must not get the request.
func (t *attemptTicket) Granted() bool {
	t.loadBalancer.mutex.Lock()
	defer t.loadBalancer.mutex.Unlock()
	return t.loadBalancer.balancer.Eligible(&t.attempt)
}

// NewLoadBalancer returns a load balancer without endpoints. Each proxy must use a different seed.
func NewLoadBalancer(zone string, seed uint64) *LoadBalancer {
	start := time.Now()
	return newLoadBalancer(zone, seed, func() time.Duration { return time.Since(start) })
}

// newLoadBalancer is NewLoadBalancer with the caller's clock.
func newLoadBalancer(zone string, seed uint64, now func() time.Duration) *LoadBalancer {
	return &LoadBalancer{
		now:      now,
		balancer: balancer.New(balancer.Options{Zone: zone, Seed: seed, CrossZonePenalty: crossZonePenalty}),
		queues:   make(map[string]*balancer.Queue),
		waiting:  make(map[uint64]*queuedWaiter),
		proxies:  defaultProxyCount,
	}
}

// SetEndpoints replaces the list of endpoints. The caller must not change the list afterwards.
func (b *LoadBalancer) SetEndpoints(endpoints []model.Endpoint) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balancer.SetEndpoints(b.now(), endpoints)
	b.dispatchAll()
}

// SetVersions replaces the versions of each service that may receive requests.
func (b *LoadBalancer) SetVersions(versions []view.ServiceVersions) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balancer.SetVersions(versions)
	b.dispatchAll()
}

// SetProxies sets the number of proxies, at least one, that share the connections that an endpoint accepts.
func (b *LoadBalancer) SetProxies(count int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.proxies = max(count, 1)
}

// Select implements Selector. If all endpoints are saturated, a request that has certainly not run is queued for a fraction of its
// route's latency target.
func (b *LoadBalancer) Select(ctx context.Context, info *RequestInfo) (Selection, error) {
	b.mutex.Lock()
	queue := b.queues[info.Service.Name]
	if queue == nil || queue.Len() == 0 {
		result, saturated := b.selectNow(info)
		if !saturated || info.MayHaveRun {
			b.mutex.Unlock()
			return result.selection, result.err
		}
	}
	id, waiter, rejection := b.enqueue(info)
	b.mutex.Unlock()
	if rejection != nil {
		return Selection{}, rejection
	}
	return b.await(ctx, id, waiter)
}

// selectNow asks the balancer for a decision without waiting, and counts a selected attempt as sent. Endpoints that rejected the
// request before are selected only if no other endpoint accepts it. The caller must hold the mutex.
func (b *LoadBalancer) selectNow(info *RequestInfo) (result selectResult, saturated bool) {
	now := b.now()
	request := balancerRequest(info)
	decision := b.balancer.Select(now, request)
	if decision.Endpoint == nil && len(info.RejectedBy) > 0 {
		request.Excluded = subtract(info.Excluded, info.RejectedBy)
		decision = b.balancer.Select(now, request)
	}
	if decision.Endpoint == nil {
		return selectResult{err: newRejectionError(decision.Rejection)}, decision.Rejection.Kind == balancer.Saturated
	}
	ticket := &attemptTicket{loadBalancer: b, attempt: decision.Attempt, timeLeft: request.TimeLeft}
	b.balancer.Sent(now, &ticket.attempt)
	selection := Selection{
		ID:             decision.Endpoint.ID,
		Address:        decision.Endpoint.Address,
		MaxConnections: b.maxConnectionsPerEndpoint(info.Service),
		Permit:         ticket,
		Ticket:         ticket,
	}
	if !decision.UntilDeadline {
		selection.Timeout = decision.Timeout
	}
	return selectResult{selection: selection}, false
}

// subtract returns the elements of list that are not in other.
func subtract(list, other []string) []string {
	var rest []string
	for _, text := range list {
		if !slices.Contains(other, text) {
			rest = append(rest, text)
		}
	}
	return rest
}

// newRejectionError converts a rejection of the balancer.
func newRejectionError(rejection balancer.Rejection) *RejectionError {
	kind := apierror.Overloaded
	switch rejection.Kind {
	case balancer.NoEndpoint:
		kind = apierror.NoEndpoint
	case balancer.DeadlineTooShort:
		kind = apierror.DeadlineTooShort
	}
	return &RejectionError{Kind: kind, RetryAfter: rejection.RetryAfter}
}

// maxConnectionsPerEndpoint returns this proxy's share of the connections that an endpoint of a service accepts; 0: unlimited.
func (b *LoadBalancer) maxConnectionsPerEndpoint(service *model.Service) int {
	if service.MaxConnections <= 0 {
		return 0
	}
	return max(service.MaxConnections/b.proxies, minConnections)
}

// FirstEvent implements Selector.
func (b *LoadBalancer) FirstEvent(selection Selection, load string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balancer.FirstEvent(b.now(), &selection.Ticket.(*attemptTicket).attempt, parseLoad(load))
}

// Done implements Selector.
func (b *LoadBalancer) Done(selection Selection, outcome Outcome) {
	ticket := selection.Ticket.(*attemptTicket)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.balancer.Done(b.now(), &ticket.attempt, balancer.Outcome{
		Kind:         outcomeKind(outcome, ticket.timeLeft),
		Elapsed:      outcome.Elapsed,
		Load:         parseLoad(outcome.Load),
		OutputTokens: int(outcome.Tokens),
	})
	b.dispatchAll()
}

// outcomeKind converts an outcome to the balancer's kind. A client that closes its connection shortly before the deadline counts as a
// timeout.
func outcomeKind(outcome Outcome, timeLeft time.Duration) balancer.OutcomeKind {
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
	case OutOfMemory:
		return balancer.Discarded
	case ClientClosed:
		if float64(outcome.Elapsed) >= timeoutFraction*float64(timeLeft) {
			return balancer.TimedOut
		}
		return balancer.Cancelled
	}
	return balancer.IncompleteResponse
}

// balancerRequest converts a request to the balancer's type.
func balancerRequest(info *RequestInfo) balancer.Request {
	route := info.Route
	prefix, own := promptTokens(info)
	return balancer.Request{
		Service: info.Service.Name,
		Route: balancer.Route{Name: route.Name, Priority: route.Priority, Kind: route.Kind, MaxAttempts: route.MaxAttempts,
			UsesAffinity: route.Affinity},
		Retryable:      retryable(route),
		TimeLeft:       time.Until(info.Deadline),
		AttemptsUsed:   info.AttemptsUsed,
		MayHaveRun:     info.MayHaveRun,
		AfterTimeout:   info.AfterTimeout,
		Excluded:       info.Excluded,
		AffinityKey:    affinityKey(info),
		PrefixTokens:   prefix,
		UncachedTokens: own,
		OutputTokens:   int(max(info.MaxOutputTokens-info.SentTokens, 0)),
	}
}

// affinityKey returns a hash of the program, session or subject of a request, whichever is set first; 0: none.
func affinityKey(info *RequestInfo) uint64 {
	for _, key := range []string{info.Program, info.Session, info.Subject} {
		if key != "" {
			return max(xxhash.Sum64String(key), 1)
		}
	}
	return 0
}

// promptTokens returns the number of tokens in the shared prefix of a prompt and in the suffix after it. The suffix is the last
// element of X-Prompt-Prefix.
func promptTokens(info *RequestInfo) (prefix, suffix int) {
	if info.PromptPrefix == "" {
		return 0, int(info.PromptTokens)
	}
	for element := range strings.SplitSeq(info.PromptPrefix, ",") {
		_, count, _ := strings.Cut(element, ":")
		tokens, err := strconv.Atoi(strings.TrimSpace(count))
		if err != nil || tokens < 0 {
			return 0, int(info.PromptTokens)
		}
		prefix += suffix
		suffix = tokens
	}
	return prefix, suffix
}

// parseLoad parses X-Server-Load: "running,queued,capacity". A malformed value counts as no report.
func parseLoad(value string) balancer.Load {
	if value == "" {
		return balancer.Load{}
	}
	running, rest, _ := strings.Cut(value, ",")
	queued, capacity, _ := strings.Cut(rest, ",")
	var load balancer.Load
	var errs [3]error
	load.Running, errs[0] = strconv.Atoi(strings.TrimSpace(running))
	load.Queued, errs[1] = strconv.Atoi(strings.TrimSpace(queued))
	load.Capacity, errs[2] = strconv.Atoi(strings.TrimSpace(capacity))
	if errs != [3]error{} {
		return balancer.Load{}
	}
	return load
}
