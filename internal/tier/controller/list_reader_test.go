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
	began time.Time
	cut   map[string]bool // by the controller's address; "": for all
	slow  time.Duration   // until it answers
	fails int             // status of its answers; 0: none
	calls []time.Time     // that have reached it
}

func (p *platform) version() int { return int(time.Since(p.began)/time.Second) + 1 }

// reader is the platform from one controller.
type reader struct {
	platform *platform
	address  string
}

func (r reader) ReadAll(ctx context.Context) ([]model.Endpoint, error) {
	p := r.platform
	if p.cut[""] || p.cut[r.address] {
		<-ctx.Done()
		return nil, fmt.Errorf("%w after %w", ctx.Err(), &platformlist.UnreachableError{Cause: ctx.Err()})
	}
	p.calls = append(p.calls, time.Now())
	select {
	case <-time.After(p.slow):
	case <-ctx.Done():
		return nil, &platformlist.UnreachableError{Cause: ctx.Err()}
	}
	if p.fails != 0 {
		<-ctx.Done()
		return nil, fmt.Errorf("%w after %w", ctx.Err(), &platformlist.StatusError{Status: p.fails})
	}
	var list []model.Endpoint
	for number := range p.version() {
		list = append(list, endpoint(fmt.Sprintf("e-%04d", number), 0))
	}
	return list, nil
}

// readers is an owner with two other controllers and the platform.
type readers struct {
	*bed
	t         *testing.T
	platform  *platform
	publisher EndpointPublisher
	apart     map[string]bool // controllers that the owner doesn't reach
	asked     map[string]int
}

const coreTwo, coreThree = "10.0.0.2:7000", "10.0.0.3:7000"

func newReaders(t *testing.T) *readers {
	r := &readers{t: t, platform: &platform{began: time.Now(), cut: map[string]bool{}}, apart: map[string]bool{}, asked: map[string]int{}}
	r.bed = startBed(t, memorydisk.New())
	others := map[string]*Controller{}
	members := r.fleet.Members()
	for name, address := range map[string]string{"core-2": coreTwo, "core-3": coreThree} {
		others[address] = newBed(t, memorydisk.New(), func(options *Options) { options.Reader = reader{r.platform, address} }).Controller
		members = append(members, controllerMember(name, name+"-id", address, ""))
	}
	r.fleet.set(members...)
	r.options.Reader = reader{r.platform, selfAddress}
	r.options.QueryEndpoints = func(ctx context.Context, address string) ([]model.Endpoint, error) {
		r.asked[address]++
		if r.apart[address] {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		answer, err := others[address].answerList(ctx, "", wire.EndpointsRequest{})
		return answer.Endpoints, err
	}
	return r
}

// run has the owner read for a time, and returns the longest time for which what was published lagged behind the platform.
func (r *readers) run(d time.Duration) (lag time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(r.ReadEndpoints(r.t.Context(), &r.publisher))
		lag = max(lag, time.Duration(r.platform.version()-r.published())*time.Second)
	}
	return lag
}

// published is the version of the newest list that was published.
func (r *readers) published() int {
	pieces := r.fleet.published
	if len(pieces) == 0 {
		return 0
	}
	var list view.EndpointList
	if err := json.Unmarshal(pieces[len(pieces)-1].Body, &list); err != nil {
		r.t.Fatal(err)
	}
	return len(list.Endpoints)
}

// wantOneOwner checks that the group has had one owner all the time, and that its stamps grew in its epoch.
func (r *readers) wantOneOwner(epoch uint64) {
	r.t.Helper()
	if status := r.group.Status(); !status.IsLeader || status.Term != epoch {
		r.t.Errorf("the ownership moved: %+v, was epoch %d", status, epoch)
	}
	for i, piece := range r.fleet.published {
		if piece.Stamp.Term != epoch || i > 0 && !r.fleet.published[i-1].Stamp.Less(piece.Stamp) {
			r.t.Errorf("piece %d has the stamp %v", i, piece.Stamp)
		}
	}
}

func TestEndpoints_LeaderCutOffFromPlatform_PeerReads(t *testing.T) {
	const (
		calm  = 10 * time.Second
		cut   = 40 * time.Second
		usual = 2 * time.Second // lag while all is well: a read each 700 ms, versions of a second
	)
	for _, story := range []struct {
		name  string
		begin func(r *readers)
		lag   time.Duration // at most, after the first patience
		found time.Duration // until another reader is found, at most
		same  bool          // nobody else is asked
	}{
		{"the owner is cut off from the platform", func(r *readers) { r.platform.cut[selfAddress] = true }, 3 * time.Second, 5 * time.Second, false},
		{"and one of the others", func(r *readers) { r.platform.cut[selfAddress], r.platform.cut[coreTwo] = true, true },
			3 * time.Second, 10 * time.Second, false},
		{"and from one of the others", func(r *readers) { r.platform.cut[selfAddress], r.apart[coreTwo] = true, true },
			3 * time.Second, 10 * time.Second, false},
		{"and from one of the others, and the other from the platform", func(r *readers) {
			r.platform.cut[selfAddress], r.platform.cut[coreThree], r.apart[coreTwo] = true, true, true
		}, cut + calm, 0, false},
		{"the platform is down", func(r *readers) { r.platform.cut[""] = true }, cut + calm, 0, false},
		{"the platform refuses all", func(r *readers) { r.platform.fails = http.StatusServiceUnavailable }, cut + calm, 0, true},
		{"the platform is slow", func(r *readers) { r.platform.slow = 2 * time.Second }, 5 * time.Second, 5 * time.Second, true},
		{"the platform is slower than a read may take", func(r *readers) { r.platform.slow = 4 * time.Second }, cut + calm, 0, false},
	} {
		t.Run(story.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Given an owner that reads the list,
				r := newReaders(t)
				if lag := r.run(calm); lag > usual {
					t.Errorf("the list lagged by %v before", lag)
				}
				epoch := r.group.Status().Term
				// when it, or others, or all don't reach the platform any more,
				story.begin(r)
				r.run(story.found)
				lag := r.run(cut - story.found)
				t.Logf("the list lagged by %v at most, others were asked %v, the platform was called %d times", lag, r.asked, len(r.platform.calls))
				// then the list is read by one that does, if there is one, and the ownership stays where it is;
				if lag > story.lag {
					t.Errorf("the list lagged by %v, want %v at most", lag, story.lag)
				}
				if asked := r.asked[coreTwo] + r.asked[coreThree]; story.same && asked > 0 {
					t.Errorf("others were asked %d times", asked)
				}
				r.wantOneOwner(epoch)
				// and when the platform is back, then the owner reads itself again.
				*r.platform = platform{began: r.platform.began, cut: map[string]bool{}, calls: r.platform.calls}
				clear(r.apart)
				r.run(localRetryInterval + 2*listReadTimeout)
				clear(r.asked)
				if lag := r.run(calm); lag > usual || len(r.asked) > 0 {
					t.Errorf("after the cut the list lagged by %v, others were asked %v", lag, r.asked)
				}
				r.wantOneOwner(epoch)
				r.wantPace()
			})
		})
	}
}

// wantPace checks that whoever reads, reads follow each other: two in any 700 ms at most, where the reader changes.
func (r *readers) wantPace() {
	r.t.Helper()
	const most = 2
	for i := most; i < len(r.platform.calls); i++ {
		if i > initialReads && r.platform.calls[i].Sub(r.platform.calls[i-most]) < listReadInterval {
			r.t.Errorf("%d reads within %v", most+1, r.platform.calls[i].Sub(r.platform.calls[i-most]))
		}
	}
}

// TestEndpoints_NewTerm_DropsEarlierReads has a controller own the group, lose it, and own it again much later.
func TestEndpoints_NewTerm_DropsEarlierReads(t *testing.T) {
	gone := endpoint("gone", 0)
	gone.Address = "10.1.0.9:8080"
	reader := &list{endpoints: []model.Endpoint{gone, endpoint("b", 0)}}
	c := newBed(t, memorydisk.New(), func(options *Options) { options.Reader = reader })
	var publisher EndpointPublisher
	if got, err := c.readCompleteList(t.Context(), &publisher, 3); err != nil || len(got) != 2 {
		t.Fatalf("read %v, %v", got, err)
	}
	// Within an epoch an endpoint that one read misses stays, since it may have moved between pages.
	reader.endpoints = reader.endpoints[1:]
	if got, err := c.readCompleteList(t.Context(), &publisher, 3); err != nil || len(got) != 2 {
		t.Errorf("read %v, %v", got, err)
	}
	// In a later one it may have been gone for long.
	if got, err := c.readCompleteList(t.Context(), &publisher, 5); err != nil || len(got) != 1 {
		t.Errorf("read %v, %v", got, err)
	}
	// There too an endpoint must be missed twice: the first list is two reads.
	moving := &missing{list: reader.endpoints}
	c.options.Reader = moving
	if got, err := c.readCompleteList(t.Context(), &publisher, 7); err != nil || len(got) != 1 || moving.reads != initialReads {
		t.Errorf("read %v by %d reads, %v", got, moving.reads, err)
	}
	// A failure in between leaves nothing half read.
	reader.err = errors.New("too many calls")
	c.options.Reader = reader
	if _, err := c.readCompleteList(t.Context(), &publisher, 9); err == nil || publisher.term != 7 {
		t.Errorf("%v, epoch %d", err, publisher.term)
	}
}

// missing is a list whose first read misses everything.
type missing struct {
	list  []model.Endpoint
	reads int
}

func (m *missing) ReadAll(context.Context) ([]model.Endpoint, error) {
	m.reads++
	if m.reads == 1 {
		return nil, nil
	}
	return m.list, nil
}

// TestEndpoints_FormerLeader_PublishesNothing has the group change its owner during a read.
func TestEndpoints_FormerLeader_PublishesNothing(t *testing.T) {
	c := newCluster(t, 0)
	c.until("an owner", 5*time.Second, func() bool { return c.owner() != nil })
	owner := c.owner().controller
	published := len(c.pieces)
	// Given an owner that reads while it is cut off from the others for longer than the time-out,
	owner.options.Reader = readerFunc(func() ([]model.Endpoint, error) {
		for _, m := range c.sorted() {
			m.running = m.controller == owner
		}
		c.run(2 * electionTimeout)
		return []model.Endpoint{endpoint("a", 0)}, nil
	})
	// when its read is over, then it publishes nothing.
	if got := owner.ReadEndpoints(t.Context(), &EndpointPublisher{}); got != leaderCheckInterval || len(c.pieces) != published {
		t.Errorf("comes back after %v, %d pieces were published", got, len(c.pieces)-published)
	}
}

// readerFunc is a reader that does something.
type readerFunc func() ([]model.Endpoint, error)

func (f readerFunc) ReadAll(context.Context) ([]model.Endpoint, error) { return f() }

// TestEndpoints_PeerReadsOverTransport has a list read by another process's controller.
func TestEndpoints_PeerReadsOverTransport(t *testing.T) {
	reader := &list{endpoints: []model.Endpoint{endpoint("a", 900), endpoint("b", 0)}}
	asked := newBed(t, memorydisk.New(), func(options *Options) { options.Reader = reader })
	handlers := transport.NewHandlers()
	asked.Register(handlers)
	server, err := transport.Listen("127.0.0.1:0", handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	pool := transport.NewPool()
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
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
