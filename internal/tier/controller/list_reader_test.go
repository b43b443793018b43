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

// platform is the platform's list as controllers see it, each over a way of its own. Its list grows by an endpoint each
// second, so that what is published tells when it was read.
type platform struct {
	began       time.Time
	unreachable map[string]bool // by the controller's address; "": for all
	delay       time.Duration   // until it answers
	failStatus  int             // status of its answers; 0: none
	calls       []time.Time     // that have reached it
}

func (p *platform) version() int { return int(time.Since(p.began)/time.Second) + 1 }

// platformReader is the platform from one controller.
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

// leaderWithPeers is a leader with two other controllers and the platform.
type leaderWithPeers struct {
	*fixture
	t                *testing.T
	platform         *platform
	publisher        EndpointPublisher
	unreachablePeers map[string]bool // controllers that the leader doesn't reach
	asked            map[string]int
}

const coreTwo, coreThree = "10.0.0.2:7000", "10.0.0.3:7000"

func newLeaderWithPeers(t *testing.T) *leaderWithPeers {
	r := &leaderWithPeers{t: t, platform: &platform{began: time.Now(), unreachable: map[string]bool{}}, unreachablePeers: map[string]bool{}, asked: map[string]int{}}
	r.fixture = startFixture(t, memorydisk.New())
	others := map[string]*Controller{}
	members := r.fleet.Members()
	for name, address := range map[string]string{"core-2": coreTwo, "core-3": coreThree} {
		others[address] = newFixture(t, memorydisk.New(), func(options *Options) { options.Reader = platformReader{r.platform, address} }).Controller
		members = append(members, controllerMember(name, name+"-id", address, ""))
	}
	r.fleet.set(members...)
	r.options.Reader = platformReader{r.platform, selfAddress}
	r.options.QueryEndpoints = func(ctx context.Context, address string) ([]model.Endpoint, error) {
		r.asked[address]++
		if r.unreachablePeers[address] {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		answer, err := others[address].answerList(ctx, "", wire.EndpointsRequest{})
		return answer.Endpoints, err
	}
	return r
}

// run has the leader read for a time, and returns the longest time for which what was published lagged behind the platform.
func (r *leaderWithPeers) run(d time.Duration) (lag time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(r.ReadEndpoints(r.t.Context(), &r.publisher))
		lag = max(lag, time.Duration(r.platform.version()-r.published())*time.Second)
	}
	return lag
}

// published is the version of the newest list that was published.
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

// wantOneLeader checks that the group has had one leader all the time, and that its stamps grew in its term.
func (r *leaderWithPeers) wantOneLeader(term uint64) {
	r.t.Helper()
	if status := r.group.Status(); !status.IsLeader || status.Term != term {
		r.t.Errorf("the leadership moved: %+v, was term %d", status, term)
	}
	for i, update := range r.fleet.published {
		if update.Stamp.Term != term || i > 0 && !r.fleet.published[i-1].Stamp.Less(update.Stamp) {
			r.t.Errorf("update %d has the stamp %v", i, update.Stamp)
		}
	}
}

// Times of the faults on the way to the platform.
const (
	calmTime   = 10 * time.Second // before and after a fault
	faultTime  = 40 * time.Second
	calmMaxLag = 2 * time.Second // of the published list without a fault: a read each 700 ms, versions of a second
)

// readFault is a fault on the way to the platform, and what it may cause.
type readFault struct {
	name          string
	inject        func(leader *leaderWithPeers)
	maxLag        time.Duration // of the published list, once a delegate was found
	delegateAfter time.Duration // until a delegate is found, at most
	noDelegate    bool          // no peer may be asked
}

func TestEndpoints_LeaderPartitionedFromPlatform_PeerReads(t *testing.T) {
	for _, fault := range []readFault{
		{name: "the leader is partitioned from the platform", inject: func(leader *leaderWithPeers) { leader.platform.unreachable[selfAddress] = true },
			maxLag: 3 * time.Second, delegateAfter: 5 * time.Second},
		{name: "and one of the others", inject: func(leader *leaderWithPeers) {
			leader.platform.unreachable[selfAddress], leader.platform.unreachable[coreTwo] = true, true
		}, maxLag: 3 * time.Second, delegateAfter: 10 * time.Second},
		{name: "and from one of the others", inject: func(leader *leaderWithPeers) {
			leader.platform.unreachable[selfAddress], leader.unreachablePeers[coreTwo] = true, true
		}, maxLag: 3 * time.Second, delegateAfter: 10 * time.Second},
		{name: "and from one of the others, and the other from the platform", inject: func(leader *leaderWithPeers) {
			leader.platform.unreachable[selfAddress], leader.platform.unreachable[coreThree], leader.unreachablePeers[coreTwo] = true, true, true
		}, maxLag: faultTime + calmTime},
		{name: "the platform is down", inject: func(leader *leaderWithPeers) { leader.platform.unreachable[""] = true }, maxLag: faultTime + calmTime},
		{name: "the platform refuses all", inject: func(leader *leaderWithPeers) { leader.platform.failStatus = http.StatusServiceUnavailable },
			maxLag: faultTime + calmTime, noDelegate: true},
		{name: "the platform is slow", inject: func(leader *leaderWithPeers) { leader.platform.delay = 2 * time.Second },
			maxLag: 5 * time.Second, delegateAfter: 5 * time.Second, noDelegate: true},
		{name: "the platform is slower than a read may take", inject: func(leader *leaderWithPeers) { leader.platform.delay = 4 * time.Second },
			maxLag: faultTime + calmTime},
	} {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Given a leader that reads the list,
				r := newLeaderWithPeers(t)
				if lag := r.run(calmTime); lag > calmMaxLag {
					t.Errorf("the list lagged by %v before", lag)
				}
				term := r.group.Status().Term
				// when it, or others, or all don't reach the platform any more, then the list is read by one that does, if there
				// is one, and the leadership stays where it is;
				r.wantReadsDuring(fault)
				r.wantOneLeader(term)
				// and when the platform is back, then the leader reads itself again.
				r.wantLeaderReadsAfterFault()
				r.wantOneLeader(term)
				r.wantRate()
			})
		})
	}
}

// wantReadsDuring injects a fault, and checks how far the published list lags behind and who reads it.
func (r *leaderWithPeers) wantReadsDuring(fault readFault) {
	r.t.Helper()
	fault.inject(r)
	r.run(fault.delegateAfter)
	lag := r.run(faultTime - fault.delegateAfter)
	r.t.Logf("the list lagged by %v at most, others were asked %v, the platform was called %d times", lag, r.asked, len(r.platform.calls))
	if lag > fault.maxLag {
		r.t.Errorf("the list lagged by %v, want %v at most", lag, fault.maxLag)
	}
	if asked := r.asked[coreTwo] + r.asked[coreThree]; fault.noDelegate && asked > 0 {
		r.t.Errorf("others were asked %d times", asked)
	}
}

// wantLeaderReadsAfterFault ends all faults, and checks that the leader reads without delegates again.
func (r *leaderWithPeers) wantLeaderReadsAfterFault() {
	r.t.Helper()
	*r.platform = platform{began: r.platform.began, unreachable: map[string]bool{}, calls: r.platform.calls}
	clear(r.unreachablePeers)
	r.run(localRetryInterval + 2*listReadTimeout)
	clear(r.asked)
	if lag := r.run(calmTime); lag > calmMaxLag || len(r.asked) > 0 {
		r.t.Errorf("after the fault the list lagged by %v, others were asked %v", lag, r.asked)
	}
}

// wantRate checks that whoever reads, reads follow each other: two in any 700 ms at most, where the reader changes.
func (r *leaderWithPeers) wantRate() {
	r.t.Helper()
	const limit = 2
	for i := limit; i < len(r.platform.calls); i++ {
		if i > initialReads && r.platform.calls[i].Sub(r.platform.calls[i-limit]) < listReadInterval {
			r.t.Errorf("%d reads within %v", limit+1, r.platform.calls[i].Sub(r.platform.calls[i-limit]))
		}
	}
}

// TestEndpoints_NewTerm_DropsEarlierReads has a controller own the group, lose it, and own it again much later.
func TestEndpoints_NewTerm_DropsEarlierReads(t *testing.T) {
	removed := endpoint("gone", 0)
	removed.Address = "10.1.0.9:8080"
	reader := &list{endpoints: []model.Endpoint{removed, endpoint("b", 0)}}
	c := newFixture(t, memorydisk.New(), func(options *Options) { options.Reader = reader })
	var publisher EndpointPublisher
	if got, err := c.readCompleteList(t.Context(), &publisher, 3); err != nil || len(got) != 2 {
		t.Fatalf("read %v, %v", got, err)
	}
	// Within a term an endpoint that one read misses stays, since it may have moved between pages.
	reader.endpoints = reader.endpoints[1:]
	if got, err := c.readCompleteList(t.Context(), &publisher, 3); err != nil || len(got) != 2 {
		t.Errorf("read %v, %v", got, err)
	}
	// In a later one it may have been gone for long.
	if got, err := c.readCompleteList(t.Context(), &publisher, 5); err != nil || len(got) != 1 {
		t.Errorf("read %v, %v", got, err)
	}
	// There too an endpoint must be missed twice: the first list is two reads.
	moving := &incompleteList{list: reader.endpoints}
	c.options.Reader = moving
	if got, err := c.readCompleteList(t.Context(), &publisher, 7); err != nil || len(got) != 1 || moving.reads != initialReads {
		t.Errorf("read %v by %d reads, %v", got, moving.reads, err)
	}
	// A failure in between leaves nothing half read.
	reader.err = errors.New("too many calls")
	c.options.Reader = reader
	if _, err := c.readCompleteList(t.Context(), &publisher, 9); err == nil || publisher.term != 7 {
		t.Errorf("%v, term %d", err, publisher.term)
	}
}

// incompleteList is a list whose first read misses everything.
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

// TestEndpoints_FormerLeader_PublishesNothing has the group change its leader during a read.
func TestEndpoints_FormerLeader_PublishesNothing(t *testing.T) {
	cluster := newCluster(t, 0)
	cluster.until("a leader", 5*time.Second, func() bool { return cluster.leader() != nil })
	leader := cluster.leader().controller
	published := len(cluster.updates)
	// Given a leader that reads while it is partitioned from the others for longer than the time-out,
	leader.options.Reader = readerFunc(func() ([]model.Endpoint, error) {
		for _, m := range cluster.sorted() {
			m.running = m.controller == leader
		}
		cluster.run(2 * electionTimeout)
		return []model.Endpoint{endpoint("a", 0)}, nil
	})
	// when its read is over, then it publishes nothing.
	if got := leader.ReadEndpoints(t.Context(), &EndpointPublisher{}); got != leaderCheckInterval || len(cluster.updates) != published {
		t.Errorf("comes back after %v, %d updates were published", got, len(cluster.updates)-published)
	}
}

// readerFunc is a reader that does something.
type readerFunc func() ([]model.Endpoint, error)

func (f readerFunc) ReadAll(context.Context) ([]model.Endpoint, error) { return f() }

// TestEndpoints_PeerReadsOverTransport has a list read by another process's controller.
func TestEndpoints_PeerReadsOverTransport(t *testing.T) {
	reader := &list{endpoints: []model.Endpoint{endpoint("a", 900), endpoint("b", 0)}}
	asked := newFixture(t, memorydisk.New(), func(options *Options) { options.Reader = reader })
	handlers := transport.NewHandlers()
	asked.Register(handlers)
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
		t.Errorf("list (-held +read):\n%s", diff)
	}
	reader.err = errors.New("not reached")
	if _, err := queryEndpointsOverTransport(pool)(ctx, server.Address()); err == nil {
		t.Error("a read that failed brought a list")
	}
}
