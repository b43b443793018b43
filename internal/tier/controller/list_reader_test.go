package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/platformlist"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// platform simulates the platform, which each controller may reach or not. Its list grows by one endpoint each second, so that the
// length of a published list shows when it was read.
type platform struct {
	startedAt   time.Time
	unreachable map[string]bool // by the controller's address; "": for all controllers
	delay       time.Duration   // until it responds
	failStatus  int             // status of its error responses; 0: it succeeds
	calls       []time.Time     // times of the calls that have reached it
}

func (p *platform) version() int { return int(time.Since(p.startedAt)/time.Second) + 1 }

// platformReader is the EndpointReader of one controller.
type platformReader struct {
	platform *platform
	address  string
}

func (r platformReader) ReadAll(ctx context.Context) ([]model.Endpoint, error) {
	p := r.platform
	if p.unreachable[""] || p.unreachable[r.address] {
		<-ctx.Done()
		return nil, fmt.Errorf("%w after %w", ctx.Err(), &platformlist.UnreachableError{Cause: ctx.Err()})
	}
	p.calls = append(p.calls, time.Now())
	select {
	case <-time.After(p.delay):
	case <-ctx.Done():
		return nil, &platformlist.UnreachableError{Cause: ctx.Err()}
	}
	if p.failStatus != 0 {
		<-ctx.Done()
		return nil, fmt.Errorf("%w after %w", ctx.Err(), &platformlist.StatusError{Status: p.failStatus})
	}
	var list []model.Endpoint
	for number := range p.version() {
		list = append(list, endpoint(fmt.Sprintf("e-%04d", number), 0))
	}
	return list, nil
}

// leaderWithPeers is a leader with two other controllers and a platform.
type leaderWithPeers struct {
	*fixture
	t                *testing.T
	platform         *platform
	publisher        EndpointPublisher
	unreachablePeers map[string]bool // controllers that the leader can't reach
	peerCalls        map[string]int  // calls of peers, by address
}

const coreTwo, coreThree = "10.0.0.2:7000", "10.0.0.3:7000"

func newLeaderWithPeers(t *testing.T) *leaderWithPeers {
	r := &leaderWithPeers{t: t, platform: &platform{startedAt: time.Now(), unreachable: map[string]bool{}}, unreachablePeers: map[string]bool{}, peerCalls: map[string]int{}}
	r.fixture = startFixture(t, memorydisk.New())
	peers := map[string]*Controller{}
	members := r.fleet.Members()
	for name, address := range map[string]string{"core-2": coreTwo, "core-3": coreThree} {
		peers[address] = newFixture(t, memorydisk.New(), func(options *Options) { options.Reader = platformReader{r.platform, address} }).Controller
		members = append(members, controllerMember(name, name+"-id", address, ""))
	}
	r.fleet.set(members...)
	r.options.Reader = platformReader{r.platform, selfAddress}
	r.options.QueryEndpoints = func(ctx context.Context, address string) ([]model.Endpoint, error) {
		r.peerCalls[address]++
		if r.unreachablePeers[address] {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		response, err := peers[address].handleListRequest(ctx, "", wire.EndpointsRequest{})
		return response.Endpoints, err
	}
	return r
}

// run has the leader read for that long, and returns the longest time by which the published list lagged behind the platform.
func (r *leaderWithPeers) run(d time.Duration) (lag time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(r.ReadEndpoints(r.t.Context(), &r.publisher))
		lag = max(lag, time.Duration(r.platform.version()-r.published())*time.Second)
	}
	return lag
}

// published returns the version of the newest published list.
func (r *leaderWithPeers) published() int {
	updates := r.fleet.published
	if len(updates) == 0 {
		return 0
	}
	var list view.EndpointList
	if err := json.Unmarshal(updates[len(updates)-1].Body, &list); err != nil {
		r.t.Fatal(err)
	}
	return len(list.Endpoints)
}

// wantOneLeader checks that the leader hasn't changed, and that the published stamps are of its term and increase.
func (r *leaderWithPeers) wantOneLeader(term uint64) {
	r.t.Helper()
	if status := r.group.Status(); !status.IsLeader || status.Term != term {
		r.t.Errorf("the leader changed: status %+v, want term %d", status, term)
	}
	for i, update := range r.fleet.published {
		if update.Stamp.Term != term || i > 0 && !r.fleet.published[i-1].Stamp.Less(update.Stamp) {
			r.t.Errorf("update %d has the stamp %v", i, update.Stamp)
		}
	}
}

// Timing of the faults between controllers and the platform.
const (
	faultFreeTime   = 10 * time.Second // before and after a fault
	faultTime       = 40 * time.Second
	faultFreeMaxLag = 2 * time.Second // of the published list without a fault: reads are 700 ms apart, versions one second
)

// readFault is a fault between controllers and the platform, with its permitted effects.
type readFault struct {
	name          string
	inject        func(leader *leaderWithPeers)
	maxLag        time.Duration // of the published list, once a delegate has been found
	delegateAfter time.Duration // until a delegate is found, at most
	noDelegate    bool          // no peer may be asked to read
}

func TestEndpoints_LeaderPartitionedFromPlatform_PeerReads(t *testing.T) {
	for _, fault := range []readFault{
		{name: "the leader is partitioned from the platform", inject: func(leader *leaderWithPeers) { leader.platform.unreachable[selfAddress] = true },
			maxLag: 3 * time.Second, delegateAfter: 5 * time.Second},
		{name: "the leader and one peer are partitioned from the platform", inject: func(leader *leaderWithPeers) {
			leader.platform.unreachable[selfAddress], leader.platform.unreachable[coreTwo] = true, true
		}, maxLag: 3 * time.Second, delegateAfter: 10 * time.Second},
		{name: "the leader is partitioned from the platform and from one peer", inject: func(leader *leaderWithPeers) {
			leader.platform.unreachable[selfAddress], leader.unreachablePeers[coreTwo] = true, true
		}, maxLag: 3 * time.Second, delegateAfter: 10 * time.Second},
		{name: "the leader is partitioned from the platform and from one peer, and the other peer from the platform", inject: func(leader *leaderWithPeers) {
			leader.platform.unreachable[selfAddress], leader.platform.unreachable[coreThree], leader.unreachablePeers[coreTwo] = true, true, true
		}, maxLag: faultTime + faultFreeTime},
		{name: "the platform is down", inject: func(leader *leaderWithPeers) { leader.platform.unreachable[""] = true }, maxLag: faultTime + faultFreeTime},
		{name: "the platform rejects all calls", inject: func(leader *leaderWithPeers) { leader.platform.failStatus = http.StatusServiceUnavailable },
			maxLag: faultTime + faultFreeTime, noDelegate: true},
		{name: "the platform is slow", inject: func(leader *leaderWithPeers) { leader.platform.delay = 2 * time.Second },
			maxLag: 5 * time.Second, delegateAfter: 5 * time.Second, noDelegate: true},
		{name: "the platform is slower than a read may take", inject: func(leader *leaderWithPeers) { leader.platform.delay = 4 * time.Second },
			maxLag: faultTime + faultFreeTime},
	} {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Given a leader that reads the list without faults,
				r := newLeaderWithPeers(t)
				if lag := r.run(faultFreeTime); lag > faultFreeMaxLag {
					t.Errorf("the list lagged by %v before the fault", lag)
				}
				term := r.group.Status().Term
				// when the fault occurs, then a controller that reaches the platform reads the list, if there is one, and the leader
				// doesn't change;
				r.wantReadsDuring(fault)
				r.wantOneLeader(term)
				// and when the fault ends, then the leader itself reads again.
				r.wantLeaderReadsAfterFault()
				r.wantOneLeader(term)
				r.wantRate()
			})
		})
	}
}

// wantReadsDuring injects a fault, and checks by how much the published list lags and whether peers read it.
func (r *leaderWithPeers) wantReadsDuring(fault readFault) {
	r.t.Helper()
	fault.inject(r)
	r.run(fault.delegateAfter)
	lag := r.run(faultTime - fault.delegateAfter)
	r.t.Logf("the list lagged by %v at most, peers were asked %v, the platform was called %d times", lag, r.peerCalls, len(r.platform.calls))
	if lag > fault.maxLag {
		r.t.Errorf("the list lagged by %v, want %v at most", lag, fault.maxLag)
	}
	if peerCalls := r.peerCalls[coreTwo] + r.peerCalls[coreThree]; fault.noDelegate && peerCalls > 0 {
		r.t.Errorf("peers were asked %d times, want none", peerCalls)
	}
}

// wantLeaderReadsAfterFault ends all faults, and checks that the leader reads without delegates again.
func (r *leaderWithPeers) wantLeaderReadsAfterFault() {
	r.t.Helper()
	*r.platform = platform{startedAt: r.platform.startedAt, unreachable: map[string]bool{}, calls: r.platform.calls}
	clear(r.unreachablePeers)
	r.run(localRetryInterval + 2*listReadTimeout)
	clear(r.peerCalls)
	if lag := r.run(faultFreeTime); lag > faultFreeMaxLag || len(r.peerCalls) > 0 {
		r.t.Errorf("after the fault the list lagged by %v, peers were asked %v", lag, r.peerCalls)
	}
}

// wantRate checks the rate of calls to the platform by all controllers: two in any 700 ms at most, when the reader changes.
func (r *leaderWithPeers) wantRate() {
	r.t.Helper()
	const limit = 2
	for i := limit; i < len(r.platform.calls); i++ {
		if i > initialReads && r.platform.calls[i].Sub(r.platform.calls[i-limit]) < listReadInterval {
			r.t.Errorf("%d reads within %v", limit+1, r.platform.calls[i].Sub(r.platform.calls[i-limit]))
		}
	}
}

// TestEndpoints_NewTerm_DropsEarlierReads has a controller lead the group in several terms: reads of an earlier term must not bring
// back endpoints that have been removed since.
func TestEndpoints_NewTerm_DropsEarlierReads(t *testing.T) {
	removed := endpoint("gone", 0)
	removed.Address = "10.1.0.9:8080"
	reader := &staticReader{endpoints: []model.Endpoint{removed, endpoint("b", 0)}}
	c := newFixture(t, memorydisk.New(), func(options *Options) { options.Reader = reader })
	var publisher EndpointPublisher
	if got, err := c.readCompleteList(t.Context(), &publisher, 3); err != nil || len(got) != 2 {
		t.Fatalf("read %v, error %v", got, err)
	}
	// Within a term an endpoint that one read misses is kept, since it may have moved between pages.
	reader.endpoints = reader.endpoints[1:]
	if got, err := c.readCompleteList(t.Context(), &publisher, 3); err != nil || len(got) != 2 {
		t.Errorf("read %v, error %v", got, err)
	}
	// In a later term it is dropped, since it may have been removed long ago.
	if got, err := c.readCompleteList(t.Context(), &publisher, 5); err != nil || len(got) != 1 {
		t.Errorf("read %v, error %v", got, err)
	}
	// In a new term, too, an endpoint must be missed twice to be dropped: the first list merges two reads.
	incomplete := &incompleteList{list: reader.endpoints}
	c.options.Reader = incomplete
	if got, err := c.readCompleteList(t.Context(), &publisher, 7); err != nil || len(got) != 1 || incomplete.reads != initialReads {
		t.Errorf("got %v by %d reads, error %v", got, incomplete.reads, err)
	}
	// If a read of the first list fails, the publisher keeps its earlier term.
	reader.err = errors.New("too many calls")
	c.options.Reader = reader
	if _, err := c.readCompleteList(t.Context(), &publisher, 9); err == nil || publisher.term != 7 {
		t.Errorf("error %v, term %d; want an error and term 7", err, publisher.term)
	}
}

// incompleteList is an EndpointReader whose first read returns nothing.
type incompleteList struct {
	list  []model.Endpoint
	reads int
}

func (m *incompleteList) ReadAll(context.Context) ([]model.Endpoint, error) {
	m.reads++
	if m.reads == 1 {
		return nil, nil
	}
	return m.list, nil
}

// TestEndpoints_FormerLeader_PublishesNothing has a leader lose its leadership during a read.
func TestEndpoints_FormerLeader_PublishesNothing(t *testing.T) {
	cluster := newCluster(t, 0)
	cluster.until("a leader", 5*time.Second, func() bool { return cluster.leader() != nil })
	leader := cluster.leader().controller
	published := len(cluster.updates)
	// Given a leader that is partitioned from the peers for longer than the election time-out while it reads,
	leader.options.Reader = readerFunc(func() ([]model.Endpoint, error) {
		for _, m := range cluster.sorted() {
			m.running = m.controller == leader
		}
		cluster.run(2 * electionTimeout)
		return []model.Endpoint{endpoint("a", 0)}, nil
	})
	// when the read ends, then the leader publishes nothing.
	if got := leader.ReadEndpoints(t.Context(), &EndpointPublisher{}); got != leaderCheckInterval || len(cluster.updates) != published {
		t.Errorf("reads again after %v, %d updates were published", got, len(cluster.updates)-published)
	}
}

// readerFunc adapts a function to EndpointReader.
type readerFunc func() ([]model.Endpoint, error)

func (f readerFunc) ReadAll(context.Context) ([]model.Endpoint, error) { return f() }

// TestEndpoints_PeerReadsOverTransport has another controller read the list, by a real transport call.
func TestEndpoints_PeerReadsOverTransport(t *testing.T) {
	reader := &staticReader{endpoints: []model.Endpoint{endpoint("a", 900), endpoint("b", 0)}}
	peer := newFixture(t, memorydisk.New(), func(options *Options) { options.Reader = reader })
	handlers := transport.NewHandlers()
	peer.Register(handlers)
	server, err := transport.Listen("127.0.0.1:0", handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	pool := transport.NewPool()
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	got, err := queryEndpointsOverTransport(pool)(ctx, server.Address())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(reader.endpoints, got); diff != "" {
		t.Errorf("list (-platform +read):\n%s", diff)
	}
	reader.err = errors.New("not reached")
	if _, err := queryEndpointsOverTransport(pool)(ctx, server.Address()); err == nil {
		t.Error("a failed read returned no error")
	}
}
