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

// Times of a core whose machines are partitioned.
const (
	coreLatency          = 2 * time.Millisecond // one way, and up to as much more
	maxDelayedMessages   = 64                   // messages on each link that a partition delays until it ends; those before are lost
	failureDetectionTime = 2 * time.Second      // until membership takes a machine that is out of reach for dead
	rejoinTime           = 10 * time.Second     // after the end of a partition, until membership takes it for alive again
	maxRedirectsFollowed = 2                    // redirects that a caller follows
	initialStores        = 8                    // of which two, and the one that joins, are drained: enough remain
	idlePoll             = 5 * time.Millisecond
)

// core is some controllers as they run, in the virtual time of a synctest bubble: real groups, handlers and loops, over a
// network and disks in memory.
type core struct {
	t        *testing.T
	kind     coreKind
	random   *rand.Rand // of the network; under mutex
	machines []*coreMachine
	stores   []membership.Member // all that run
	joiner   membership.Member   // a store that starts in the middle
	joined   time.Time           // when; zero: not yet

	mutex            sync.Mutex
	blocked          map[link]bool
	delayed          map[link][]group.Envelope
	unreachableSince map[link]time.Time // since when a machine has been out of another one's reach; for a while after it is back
	reachableAt      map[link]time.Time
}

// coreKind tells how large a core is, and what it has to bear beside cuts.
type coreKind struct {
	group    int           // controllers that begin as the group; one more stands by
	lost     float64       // share of messages
	slowDisk time.Duration // a sync takes up to so long
}

// coreKinds are played in turn, seed by seed.
var coreKinds = []coreKind{{group: 3}, {group: 5, lost: 0.02}, {group: 3, lost: 0.05, slowDisk: 60 * time.Millisecond}}

// coreMachine is one controller.
type coreMachine struct {
	core       *core
	number     int
	member     membership.Member
	controller *Controller
	handler    http.Handler
	wake       chan struct{}
	calls      int           // under way; under core.mutex
	thawed     chan struct{} // closed while it runs; under core.mutex
}

// newCore starts controllers: the group, and one that stands by.
func newCore(t *testing.T, seed uint64) *core {
	kind := coreKinds[seed%uint64(len(coreKinds))]
	core := &core{t: t, kind: kind, random: rand.New(rand.NewPCG(seed, 7)), stores: storeMembers(initialStores), joiner: storeMember(initialStores + 1),
		blocked: map[link]bool{}, delayed: map[link][]group.Envelope{}, unreachableSince: map[link]time.Time{}, reachableAt: map[link]time.Time{}}
	ctx, cancel := context.WithCancel(t.Context())
	var initial []replica.Member
	for number := range kind.group + 1 {
		name := fmt.Sprintf("core-%d", number+1)
		member := controllerMember(name, name+"-id", fmt.Sprintf("10.0.0.%d:7000", number+1), fmt.Sprintf("10.0.0.%d:8144", number+1))
		member.Incarnation = uint64(number + 1)
		running := make(chan struct{})
		close(running)
		core.machines = append(core.machines, &coreMachine{core: core, number: number, member: member, wake: make(chan struct{}, 1), thawed: running})
		if number < kind.group {
			initial = append(initial, replica.Member{ID: member.ID, Address: member.Address})
		}
	}
	var running sync.WaitGroup
	for _, m := range core.machines {
		first := initial
		if m.number >= len(initial) {
			first = nil
		}
		m.open(first, seed)
	}
	for _, m := range core.machines {
		for _, loop := range []func(context.Context){m.runGroup, m.runLoops, m.analyze} {
			running.Go(func() { loop(ctx) })
		}
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return core
}

func (m *coreMachine) open(initial []replica.Member, seed uint64) {
	disk := memorydisk.New()
	if slow := m.core.kind.slowDisk; slow > 0 {
		random := rand.New(rand.NewPCG(seed, uint64(m.number)))
		disk.InjectFaults(func(kind memorydisk.Operation, _ string) error {
			if kind == memorydisk.Sync {
				time.Sleep(time.Duration(random.Int64N(int64(slow))))
			}
			return nil
		})
	}
	survive := settings.FaultTolerance{Machines: m.core.kind.group / 2}
	opened, err := Open(Options{ID: m.member.ID, Address: m.member.Address, Settings: &settings.Settings{FaultTolerance: survive},
		Initial: initial, Disk: disk, Fleet: m, Reader: &list{endpoints: []model.Endpoint{endpoint("e", 0)}}, Logger: log.NewNopLogger(),
		Seed: seed + uint64(m.number), SendMessage: m.send, QueryStore: func(string, func(wire.ShardMembersResponse, error)) {}})
	if err != nil {
		m.core.t.Fatal(err)
	}
	m.controller, m.handler = opened, opened.Handler()
}

// waitWhileFrozen waits while the machine is frozen.
func (m *coreMachine) waitWhileFrozen() {
	for {
		m.core.mutex.Lock()
		thawed := m.thawed
		m.core.mutex.Unlock()
		select {
		case <-thawed:
			return
		default:
		}
		<-thawed
	}
}

// runGroup gives the group its turns.
func (m *coreMachine) runGroup(ctx context.Context) {
	opened := time.Now()
	for ctx.Err() == nil {
		m.waitWhileFrozen()
		next, err := m.controller.Group().RunOnce()
		if err != nil {
			m.core.t.Errorf("%s: %v", m.member.Name, err)
			return
		}
		wait := max(0, next-time.Since(opened))
		m.core.mutex.Lock()
		if m.calls > 0 {
			wait = min(wait, idlePoll)
		}
		m.core.mutex.Unlock()
		select {
		case <-time.After(wait):
		case <-m.wake:
		case <-ctx.Done():
		}
	}
}

// runLoops does what the loops of a controller do, as long as the machine runs.
func (m *coreMachine) runLoops(ctx context.Context) {
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

func (m *coreMachine) analyze(ctx context.Context) {
	trials := map[uint64]*rollout.Analysis{}
	for ctx.Err() == nil {
		m.waitWhileFrozen()
		m.controller.analyzeRollouts(ctx, trials)
		m.sleep(ctx, analysisInterval)
	}
}

func (m *coreMachine) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (m *coreMachine) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// send puts a message on its way.
func (m *coreMachine) send(address string, envelope group.Envelope) {
	for _, to := range m.core.machines {
		if to.member.Address == address {
			m.core.deliver(link{m.number, to.number}, envelope)
		}
	}
}

// Members implements Fleet. A machine that is out of reach of all others takes the stores for dead too.
func (m *coreMachine) Members() []membership.Member {
	c := m.core
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
func (m *coreMachine) Publish(view.Update) {}

// leader is the machine that leads the group, once there is one.
func (c *core) leader() int {
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

// others lists all machines but one.
func (c *core) others(number int) []int {
	var others []int
	for _, m := range c.machines {
		if m.number != number {
			others = append(others, m.number)
		}
	}
	return others
}
