package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Timing and sizes of a cluster whose machines are partitioned.
const (
	linkLatency          = 2 * time.Millisecond // minimum latency, one way; the maximum is twice that
	maxDelayedMessages   = 64                   // a blocked link keeps this many messages until it is unblocked; older ones are lost
	failureDetectionTime = 2 * time.Second      // until membership considers an unreachable machine dead
	rejoinTime           = 10 * time.Second     // from the end of a partition until membership considers the machine alive again
	maxRedirectsFollowed = 2                    // maximum of redirects that a caller follows
	initialStores        = 8                    // of which two, and the one that joins, are drained, so that enough remain
	idlePoll             = 5 * time.Millisecond
)

// partitionedCluster is a cluster of controllers in the virtual time of a synctest bubble, with real groups, handlers and loops, and
// with a network and disks in memory.
type partitionedCluster struct {
	t        *testing.T
	kind     clusterKind
	random   *rand.Rand // of the network; guarded by mutex
	machines []*partitionedMachine
	stores   []membership.Member // all that run from the start
	joiner   membership.Member   // a store that joins during the partition
	joined   time.Time           // when joiner joined; zero: not yet

	mutex            sync.Mutex
	blocked          map[link]bool
	delayed          map[link][]group.Envelope
	unreachableSince map[link]time.Time // when a machine became unreachable for another one; kept after it is reachable again
	reachableAt      map[link]time.Time // when membership considers a machine that is reachable again alive
}

// clusterKind is the size of a cluster and its faults besides partitions.
type clusterKind struct {
	group    int           // number of the group's initial members; there is one standby controller more
	lost     float64       // share of messages that is lost
	slowDisk time.Duration // maximum duration of a sync
}

// clusterKinds are the kinds of clusters; seeds cycle through them.
var clusterKinds = []clusterKind{{group: 3}, {group: 5, lost: 0.02}, {group: 3, lost: 0.05, slowDisk: 60 * time.Millisecond}}

// partitionedMachine is one controller's machine.
type partitionedMachine struct {
	cluster    *partitionedCluster
	number     int
	member     membership.Member
	controller *Controller
	handler    http.Handler
	wake       chan struct{}
	calls      int           // in progress; guarded by cluster.mutex
	thawed     chan struct{} // closed while the machine isn't frozen; guarded by cluster.mutex
}

// newPartitionedCluster starts the controllers of the group and one standby.
func newPartitionedCluster(t *testing.T, seed uint64) *partitionedCluster {
	kind := clusterKinds[seed%uint64(len(clusterKinds))]
	cluster := &partitionedCluster{t: t, kind: kind, random: rand.New(rand.NewPCG(seed, 7)), stores: storeMembers(initialStores), joiner: storeMember(initialStores + 1),
		blocked: map[link]bool{}, delayed: map[link][]group.Envelope{}, unreachableSince: map[link]time.Time{}, reachableAt: map[link]time.Time{}}
	ctx, cancel := context.WithCancel(t.Context())
	var initial []replica.Member
	for number := range kind.group + 1 {
		name := fmt.Sprintf("core-%d", number+1)
		member := controllerMember(name, name+"-id", fmt.Sprintf("10.0.0.%d:7000", number+1), fmt.Sprintf("10.0.0.%d:8144", number+1))
		member.Incarnation = uint64(number + 1)
		running := make(chan struct{})
		close(running)
		cluster.machines = append(cluster.machines, &partitionedMachine{cluster: cluster, number: number, member: member, wake: make(chan struct{}, 1), thawed: running})
		if number < kind.group {
			initial = append(initial, replica.Member{ID: member.ID, Address: member.Address})
		}
	}
	var running sync.WaitGroup
	for _, m := range cluster.machines {
		first := initial
		if m.number >= len(initial) {
			first = nil
		}
		m.open(first, seed)
	}
	for _, m := range cluster.machines {
		for _, loop := range []func(context.Context){m.runGroup, m.runLoops, m.analyze} {
			running.Go(func() { loop(ctx) })
		}
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return cluster
}

func (m *partitionedMachine) open(initial []replica.Member, seed uint64) {
	disk := memorydisk.New()
	if slow := m.cluster.kind.slowDisk; slow > 0 {
		random := rand.New(rand.NewPCG(seed, uint64(m.number)))
		disk.InjectFaults(func(kind memorydisk.Operation, _ string) error {
			if kind == memorydisk.Sync {
				time.Sleep(time.Duration(random.Int64N(int64(slow))))
			}
			return nil
		})
	}
	tolerance := settings.FaultTolerance{Machines: m.cluster.kind.group / 2}
	opened, err := Open(Options{ID: m.member.ID, Address: m.member.Address, Settings: &settings.Settings{FaultTolerance: tolerance},
		Initial: initial, Disk: disk, Fleet: m, Reader: &staticReader{endpoints: []model.Endpoint{endpoint("e", 0)}}, Logger: log.NewNopLogger(),
		Seed: seed + uint64(m.number), SendMessage: m.send, QueryStore: func(string, func(wire.ShardMembersResponse, error)) {}})
	if err != nil {
		m.cluster.t.Fatal(err)
	}
	m.controller, m.handler = opened, opened.Handler()
}

// waitWhileFrozen waits while the machine is frozen.
func (m *partitionedMachine) waitWhileFrozen() {
	for {
		m.cluster.mutex.Lock()
		thawed := m.thawed
		m.cluster.mutex.Unlock()
		select {
		case <-thawed:
			return
		default:
		}
		<-thawed
	}
}

// runGroup runs the group's iterations when they are due.
func (m *partitionedMachine) runGroup(ctx context.Context) {
	opened := time.Now()
	for ctx.Err() == nil {
		m.waitWhileFrozen()
		next, err := m.controller.Group().RunOnce()
		if err != nil {
			m.cluster.t.Errorf("%s: %v", m.member.Name, err)
			return
		}
		wait := max(0, next-time.Since(opened))
		m.cluster.mutex.Lock()
		if m.calls > 0 {
			wait = min(wait, idlePoll)
		}
		m.cluster.mutex.Unlock()
		select {
		case <-time.After(wait):
		case <-m.wake:
		case <-ctx.Done():
		}
	}
}

// runLoops runs the controller's loops, except while the machine is frozen.
func (m *partitionedMachine) runLoops(ctx context.Context) {
	var publisher EndpointPublisher
	for ctx.Err() == nil {
		m.waitWhileFrozen()
		m.controller.Reconcile(time.Now())
		m.controller.Publish()
		m.controller.ReadEndpoints(ctx, &publisher)
		m.wakeUp()
		m.sleep(ctx, reconcileInterval)
	}
}

func (m *partitionedMachine) analyze(ctx context.Context) {
	analyses := map[uint64]*rollout.Analysis{}
	for ctx.Err() == nil {
		m.waitWhileFrozen()
		m.controller.analyzeRollouts(ctx, analyses)
		m.sleep(ctx, analysisInterval)
	}
}

func (m *partitionedMachine) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (m *partitionedMachine) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// send sends a message over the link to a machine.
func (m *partitionedMachine) send(address string, envelope group.Envelope) {
	for _, to := range m.cluster.machines {
		if to.member.Address == address {
			m.cluster.deliver(link{m.number, to.number}, envelope)
		}
	}
}

// Members implements Fleet. A machine that reaches no other controller considers the stores dead, too.
func (m *partitionedMachine) Members() []membership.Member {
	c := m.cluster
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var members []membership.Member
	alone := true
	for _, other := range c.machines {
		seen := other.member
		if c.isDead(link{m.number, other.number}) {
			seen.State = membership.StateDead
		} else if other != m {
			alone = false
		}
		members = append(members, seen)
	}
	stores := c.stores
	if !c.joined.IsZero() && time.Since(c.joined) > time.Second && !alone {
		stores = append(stores[:len(stores):len(stores)], c.joiner)
	}
	for _, store := range stores {
		if alone {
			store.State = membership.StateDead
		}
		members = append(members, store)
	}
	return members
}

// Publish implements Fleet.
func (m *partitionedMachine) Publish(view.Update) {}

// leader waits for a leader of the group and returns its machine's number.
func (c *partitionedCluster) leader() int {
	c.t.Helper()
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		for _, m := range c.machines {
			if m.controller.Group().Status().IsLeader {
				return m.number
			}
		}
	}
	c.t.Fatal("no leader")
	return 0
}

// others lists the numbers of all machines but one.
func (c *partitionedCluster) others(number int) []int {
	var others []int
	for _, m := range c.machines {
		if m.number != number {
			others = append(others, m.number)
		}
	}
	return others
}
