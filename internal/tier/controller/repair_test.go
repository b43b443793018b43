package controller

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wire"
)

// allPairs has every pair of a repair and a next loss played on all sites, instead of on one of them each.
var allPairs = flag.Bool("pairs", false, "play every pair of a repair and a next loss on all sites")

// Times of the faults.
const (
	downTime      = 2 * time.Second // from a loss of power until the machine starts again
	comesAfter    = time.Second     // from a loss for good until an empty machine starts; of a planned one, until the old one is told to end
	partitionTime = 4500 * time.Millisecond
	freezeTime    = 3200 * time.Millisecond
	loadInterval  = 100 * time.Millisecond
	orderTimeout  = 2 * time.Second  // with an order that nobody has answered
	recoveryTime  = 12 * time.Second // until all is complete again after the last loss
)

// catchUp is how long a machine stays lost after its start.
func (s environment) catchUp() time.Duration {
	if s.faultTolerance > 1 {
		return 6 * time.Second
	}
	return 4200 * time.Millisecond
}

// fault is one way in which machines of a class are lost, replaced or added.
type fault string

// The faults.
const (
	diskLost    fault = "disk lost"
	machineLost fault = "gone"
	planned     fault = "planned replacement"
	retired     fault = "retired"
	added       fault = "added"
	partitioned fault = "cut off"
	frozen      fault = "frozen"
)

var faults = []fault{diskLost, machineLost, planned, retired, added, partitioned, frozen}

// repair is a run of a repair, a next loss at the first moment that the rules allow, and a final fault likewise.
type repair struct {
	*cluster
	role          membership.Role
	addedMachines int // machines that were added
	diskFrom      map[string]time.Duration
	removed       map[string]bool // by address
	load          *load
}

// load is what clients and the operator go on sending; it knows what was acknowledged.
type load struct {
	cluster          *cluster
	ended            bool
	turns            map[string]int // acknowledged, by name
	sent             int
	orders           []configuration.Proposal // acknowledged
	order            configuration.Proposal   // the next one, sent again until it is
	resendAt         time.Duration            // when that is sent again, should nobody answer: its leader may have been killed
	lastAcknowledged map[int]time.Duration    // by shard, when it took something last; the configuration is configurationShard
	longestOutage    time.Duration            // the longest that any of them took nothing
}

const configurationShard = -1

func newRepair(t *testing.T, role membership.Role, around environment, pair ...fault) *repair {
	stores := 4
	if around.faultTolerance > 1 {
		stores = 8
	}
	if !slices.ContainsFunc(pair, func(what fault) bool { return what != retired }) {
		stores++ // one machine of the smallest fleet may be retired, and no more
	}
	r := &repair{cluster: newClusterIn(t, stores, around), role: role, diskFrom: map[string]time.Duration{}, removed: map[string]bool{}}
	r.awaitPlacement()
	r.until("the configuration's group is complete", 5*time.Second, r.controllersComplete)
	r.load = &load{cluster: r.cluster, turns: map[string]int{}, lastAcknowledged: map[int]time.Duration{}}
	r.load.order = configuration.Proposal{Number: 1, Raw: json.RawMessage(`1`)}
	r.load.tick()
	r.run(time.Second)
	return r
}

// tick sends a turn to each shard and an order to the configuration's group, again and again.
func (l *load) tick() {
	if l.ended {
		return
	}
	l.cluster.after(loadInterval, l.tick)
	for shard := range l.cluster.placement().Shards {
		l.begin(shard)
	}
	l.configure()
}

func (l *load) begin(shard int) {
	_, leader := l.cluster.shardLeader(shard)
	if leader == nil {
		return
	}
	l.sent++
	name := fmt.Sprintf("load-%d", l.sent)
	begin := program.BeginTurn{Turn: name, Program: "p", Budget: 1 << 40, MaxTokens: 10, AtMs: l.cluster.time().UnixMilli(), Remembered: true,
		KeepForS: 600, Input: []byte(strings.Repeat("x", 400))}
	leader.ProposeAsync(program.Command{Begin: &begin}, func(answer any, err error) {
		if result, ok := answer.(program.Result); ok && err == nil && result.Verdict == program.Accepted {
			l.turns[name] = shard
			l.acknowledged(shard)
		}
	})
}

func (l *load) configure() {
	leader := l.cluster.leader()
	if leader == nil || l.cluster.now < l.resendAt {
		return
	}
	l.resendAt = l.cluster.now + orderTimeout
	order := l.order
	leader.controller.Group().ProposeAsync(Command{Configuration: &order}, func(answer any, err error) {
		if order.Number != l.order.Number {
			return
		}
		l.resendAt = l.cluster.now
		if err != nil || answer != configuration.Accepted {
			return
		}
		l.orders = append(l.orders, order)
		l.order = configuration.Proposal{Base: order.Number, Number: order.Number + 1, Raw: json.RawMessage(fmt.Sprint(order.Number + 1))}
		l.acknowledged(configurationShard)
	})
}

func (l *load) acknowledged(shard int) {
	now := l.cluster.now
	if before, known := l.lastAcknowledged[shard]; known {
		l.longestOutage = max(l.longestOutage, now-before)
	}
	l.lastAcknowledged[shard] = now
}

// controllersComplete tells whether the configuration's group has all its members, with votes and caught up.
func (c *cluster) controllersComplete() bool {
	leader := c.leader()
	return leader != nil && len(caughtUp(leader.controller.Group().Status())) == 2*c.environment.faultTolerance+1
}

func (r *repair) allComplete() bool { return r.isComplete() && r.controllersComplete() }

// oldest lists the machines of the class whose disks have lasted longest.
func (r *repair) oldest(count int) []*testMachine {
	var list []*testMachine
	for _, m := range r.sorted() {
		if m.member.Role == r.role && !r.removed[m.member.Address] {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *testMachine) int {
		return int(r.diskFrom[a.member.Address] - r.diskFrom[b.member.Address])
	})
	return list[:min(count, len(list))]
}

// addMachine starts an empty machine of the class in the zone of another one.
func (r *repair) addMachine(zone string) {
	r.addedMachines++
	member := storeMember(20 + r.addedMachines)
	if r.role == membership.Controller {
		name := fmt.Sprintf("core-%d", 20+r.addedMachines)
		member = controllerMember(name, name+"-anew", fmt.Sprintf("10.0.2.%d:7000", r.addedMachines), fmt.Sprintf("10.0.2.%d:8144", r.addedMachines))
	}
	member.Zone = zone
	r.add(member).start()
	r.diskFrom[member.Address] = r.now
}

// inject injects a fault, and returns when the machine no longer counts as lost.
func (r *repair) inject(what fault, machine *testMachine) time.Duration {
	switch what {
	case diskLost:
		r.loseDisk(machine)
		return r.now + downTime + r.environment.catchUp()
	case machineLost:
		r.remove(machine)
		machine.losePower(uint64(r.now))
		r.after(comesAfter, func() { r.addMachine(machine.member.Zone) })
		return r.now + comesAfter + r.environment.catchUp()
	case planned:
		r.remove(machine)
		r.addMachine(machine.member.Zone)
		r.after(comesAfter, machine.terminate)
		return r.now + r.environment.catchUp()
	case retired:
		r.remove(machine)
		if got := r.decommission(machine.node()); got != decommission.Accepted {
			r.t.Fatalf("order about %s was %v", machine.node(), got)
		}
		r.until("the machine is empty", recoveryTime, r.isFinished(machine.node()))
		machine.losePower(uint64(r.now))
		return r.now
	case added:
		r.addMachine(machine.member.Zone)
		return r.now + r.environment.catchUp()
	case partitioned:
		machine.partition()
		r.after(partitionTime, machine.heal)
		return r.now + partitionTime + r.environment.catchUp()
	default:
		machine.freeze()
		r.after(freezeTime, machine.thaw)
		return r.now + freezeTime + r.environment.catchUp()
	}
}

func (r *repair) remove(m *testMachine) { r.removed[m.member.Address] = true }

// loseDisk has a machine lose power and come back with an empty disk.
func (r *repair) loseDisk(m *testMachine) {
	m.kill()
	r.diskFrom[m.member.Address] = r.now + downTime
	r.after(downTime, m.wipe)
}

// injectAtOldest injects a fault at as many machines as may be lost at once, and waits until the next loss is allowed.
func (r *repair) injectAtOldest(what fault) {
	count := r.environment.faultTolerance
	if what == retired || what == added {
		count = 1
	}
	until := r.now
	for _, m := range r.oldest(count) {
		until = max(until, r.inject(what, m))
	}
	r.run(until - r.now)
}

// finalFault has as many machines as may be lost at once lose their disks, and all others lose power.
func (r *repair) finalFault() {
	wiped := r.oldest(r.environment.faultTolerance)
	for _, m := range r.sorted() {
		if !m.running {
			continue
		}
		if slices.Contains(wiped, m) {
			r.loseDisk(m)
			continue
		}
		m.frozen, m.partitionedAt = false, 0
		m.losePower(uint64(r.now) + 1)
		r.after(downTime, m.start)
	}
	r.run(downTime)
}

// wantAll checks that everything is complete again and nothing that was acknowledged is lost.
func (r *repair) wantAll() {
	r.t.Helper()
	r.until("all groups are complete", recoveryTime, r.allComplete)
	r.load.ended = true
	r.run(time.Second)
	register := r.leader().controller.state.configuration
	for _, order := range r.load.orders {
		if !register.WasAccepted(&order) {
			r.t.Fatalf("order %d was acknowledged and isn't known", order.Number)
		}
	}
	r.wantAcknowledgedTurns()
	if len(r.load.turns) == 0 || len(r.load.orders) == 0 {
		r.t.Error("nothing was acknowledged")
	}
}

// wantAcknowledgedTurns ends all turns that were acknowledged: each must be known.
func (r *repair) wantAcknowledgedTurns() {
	r.t.Helper()
	verdicts := map[string]program.Verdict{}
	for _, name := range slices.Sorted(maps.Keys(r.load.turns)) {
		_, leader := r.shardLeader(r.load.turns[name])
		if leader == nil {
			r.t.Fatalf("nobody leads shard %d", r.load.turns[name])
		}
		end := program.EndTurn{Turn: name, Complete: true, Tokens: 1, AtMs: r.time().UnixMilli()}
		leader.ProposeAsync(program.Command{End: &end}, func(answer any, err error) {
			if result, ok := answer.(program.Result); ok && err == nil {
				verdicts[name] = result.Verdict
			}
		})
	}
	r.until("all turns are settled", 5*time.Second, func() bool { return len(verdicts) == len(r.load.turns) })
	for _, name := range slices.Sorted(maps.Keys(verdicts)) {
		if verdicts[name] != program.Accepted {
			r.t.Fatalf("%s of shard %d was acknowledged and is %s", name, r.load.turns[name], verdicts[name])
		}
	}
}

// TestRepair_SecondLossRightAfter_LosesNothing runs every pair of faults, the second one at the first moment that the rules allow, and a
// final fault likewise.
func TestRepair_SecondLossRightAfter_LosesNothing(t *testing.T) {
	sites := []struct {
		name   string
		around environment
	}{{"fast", fastSite}, {"slow", slowSite}, {"large and fast", fastSite.large()}, {"large and slow", slowSite.large()}}
	number := 0
	for _, role := range []membership.Role{membership.Store, membership.Controller} {
		for _, first := range faults {
			for _, second := range faults {
				if role == membership.Controller && (first == retired || second == retired) {
					continue
				}
				number++
				for i, site := range sites {
					if !*allPairs && ((number+number/7)%2 != i || number%pairStride != 0) {
						continue
					}
					t.Run(fmt.Sprintf("%s, %s, then %s, %s site", role, first, second, site.name), func(t *testing.T) {
						t.Parallel()
						r := newRepair(t, role, site.around, first, second)
						r.injectAtOldest(first)
						r.injectAtOldest(second)
						r.finalFault()
						r.wantAll()
						t.Logf("no group stood still for more than %v", r.load.longestOutage)
					})
				}
			}
		}
	}
}

// TestRepair_TwoLossesAtOnce_BothRepaired has two of eight stores lost for good at once, each with an empty one in its place.
func TestRepair_TwoLossesAtOnce_BothRepaired(t *testing.T) {
	r := newRepair(t, membership.Store, fastSite.large())
	allowed := r.now
	for _, m := range r.oldest(2) {
		allowed = r.inject(machineLost, m)
	}
	r.run(allowed - r.now)
	if !r.allComplete() {
		t.Error("not all groups are complete when the next loss is allowed")
	}
}

// TestGroupReport_DeposedLeader_NotConfirmed has a leader of a shard partitioned that doesn't know it yet: it must not report on its group,
// neither then nor when it is back.
func TestGroupReport_DeposedLeader_NotConfirmed(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	at, _ := cluster.shardLeader(0)
	at.partition()
	var reported []int
	at.store.ReportMembers(func(answer wire.ShardMembersResponse) {
		for _, parsed := range answer.Shards {
			reported = append(reported, parsed.Shard)
		}
	})
	cluster.run(3 * time.Second)
	at.heal()
	cluster.run(3 * time.Second)
	if len(reported) > 0 {
		t.Errorf("reported on %v though no majority was in touch", reported)
	}
}
