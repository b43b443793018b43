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

// allPairs runs every pair of a repair and a next loss on all sites, instead of each pair on one site.
var allPairs = flag.Bool("pairs", false, "run every pair of a repair and a next loss on all sites")

// Timing of the faults.
const (
	downTime         = 2 * time.Second // from a loss of power until the machine restarts
	replacementDelay = time.Second     // until a lost machine's successor starts; in a planned replacement, from then until the old one ends
	partitionTime    = 4500 * time.Millisecond
	freezeTime       = 3200 * time.Millisecond
	loadInterval     = 100 * time.Millisecond
	orderTimeout     = 2 * time.Second  // until an order without a response is sent again
	recoveryTime     = 12 * time.Second // until all groups are complete again after the last loss
)

// catchUp returns how long a machine still counts as lost after its start.
func (e environment) catchUp() time.Duration {
	if e.faultTolerance > 1 {
		return 6 * time.Second
	}
	return 4200 * time.Millisecond
}

// fault is a way in which machines of a role are lost, replaced or added.
type fault string

// The faults.
const (
	diskLost       fault = "disk lost"
	machineLost    fault = "machine lost"
	planned        fault = "planned replacement"
	decommissioned fault = "decommissioned"
	added          fault = "added"
	partitioned    fault = "partitioned"
	frozen         fault = "frozen"
)

var faults = []fault{diskLost, machineLost, planned, decommissioned, added, partitioned, frozen}

// repair is a run of a repair, of a next loss as soon as it is allowed, and likewise of a final fault, under load.
type repair struct {
	*cluster
	role          membership.Role
	addedMachines int                      // number of machines that were added
	diskNewAt     map[string]time.Duration // when a machine's disk was new, by address; none: from the start
	removed       map[string]bool          // machines that are no longer part of the fleet, by address
	load          *load
}

// load sends turns and configurations throughout a run, and records those that were acknowledged.
type load struct {
	cluster          *cluster
	ended            bool
	turns            map[string]int // acknowledged, by name
	sent             int
	orders           []configuration.Proposal // acknowledged
	order            configuration.Proposal   // the next configuration, sent again until it is acknowledged
	resendAt         time.Duration            // when order is sent again without a response: its leader may have been killed
	lastAcknowledged map[int]time.Duration    // time of the last acknowledgement, by shard; configurationShard for the configuration
	longestOutage    time.Duration            // the longest time between two acknowledgements of a shard
}

const configurationShard = -1

func newRepair(t *testing.T, role membership.Role, env environment, pair ...fault) *repair {
	stores := 4
	if env.faultTolerance > 1 {
		stores = 8
	}
	if !slices.ContainsFunc(pair, func(what fault) bool { return what != decommissioned }) {
		stores++ // in the smallest fleet only one machine may be decommissioned
	}
	r := &repair{cluster: newClusterIn(t, stores, env), role: role, diskNewAt: map[string]time.Duration{}, removed: map[string]bool{}}
	r.awaitPlacement()
	r.until("the configuration's group is complete", 5*time.Second, r.controllersComplete)
	r.load = &load{cluster: r.cluster, turns: map[string]int{}, lastAcknowledged: map[int]time.Duration{}}
	r.load.order = configuration.Proposal{Number: 1, Raw: json.RawMessage(`1`)}
	r.load.tick()
	r.run(time.Second)
	return r
}

// tick sends a turn to each shard and a configuration to its group, each loadInterval.
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
	leader.ProposeAsync(program.Command{Begin: &begin}, func(value any, err error) {
		if result, ok := value.(program.UnjoinedResult); ok && err == nil && result.Verdict == program.Accepted {
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
	leader.controller.Group().ProposeAsync(Command{Configuration: &order}, func(value any, err error) {
		if order.Number != l.order.Number {
			return
		}
		l.resendAt = l.cluster.now
		if err != nil || value != configuration.Accepted {
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

// controllersComplete reports whether the configuration's group has all its members, and all are voters and caught up.
func (c *cluster) controllersComplete() bool {
	leader := c.leader()
	return leader != nil && len(caughtUp(leader.controller.Group().Status())) == 2*c.environment.faultTolerance+1
}

func (r *repair) allComplete() bool { return r.isComplete() && r.controllersComplete() }

// oldest lists the machines of the role with the oldest disks.
func (r *repair) oldest(count int) []*testMachine {
	var list []*testMachine
	for _, m := range r.sorted() {
		if m.member.Role == r.role && !r.removed[m.member.Address] {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *testMachine) int {
		return int(r.diskNewAt[a.member.Address] - r.diskNewAt[b.member.Address])
	})
	return list[:min(count, len(list))]
}

// addMachine starts an empty machine of the role in a zone.
func (r *repair) addMachine(zone string) {
	r.addedMachines++
	member := storeMember(20 + r.addedMachines)
	if r.role == membership.Controller {
		name := fmt.Sprintf("core-%d", 20+r.addedMachines)
		member = controllerMember(name, name+"-anew", fmt.Sprintf("10.0.2.%d:7000", r.addedMachines), fmt.Sprintf("10.0.2.%d:8144", r.addedMachines))
	}
	member.Zone = zone
	r.add(member).start()
	r.diskNewAt[member.Address] = r.now
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
		r.after(replacementDelay, func() { r.addMachine(machine.member.Zone) })
		return r.now + replacementDelay + r.environment.catchUp()
	case planned:
		r.remove(machine)
		r.addMachine(machine.member.Zone)
		r.after(replacementDelay, machine.terminate)
		return r.now + r.environment.catchUp()
	case decommissioned:
		r.remove(machine)
		if got := r.decommission(machine.node()); got != decommission.Accepted {
			r.t.Fatalf("the result of decommissioning %s is %v", machine.node(), got)
		}
		r.until("the machine is drained", recoveryTime, r.isFinished(machine.node()))
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

// loseDisk kills a machine, which restarts with an empty disk.
func (r *repair) loseDisk(m *testMachine) {
	m.kill()
	r.diskNewAt[m.member.Address] = r.now + downTime
	r.after(downTime, m.wipe)
}

// injectAtOldest injects a fault into as many of the oldest machines as may be lost at once, and waits until the next loss is allowed.
func (r *repair) injectAtOldest(what fault) {
	count := r.environment.faultTolerance
	if what == decommissioned || what == added {
		count = 1
	}
	until := r.now
	for _, m := range r.oldest(count) {
		until = max(until, r.inject(what, m))
	}
	r.run(until - r.now)
}

// finalFault has as many of the oldest machines as may be lost at once lose their disks, and all others lose power.
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

// wantRecovered checks that all groups become complete again and nothing acknowledged is lost.
func (r *repair) wantRecovered() {
	r.t.Helper()
	r.until("all groups are complete", recoveryTime, r.allComplete)
	r.load.ended = true
	r.run(time.Second)
	register := r.leader().controller.state.configuration
	for _, order := range r.load.orders {
		if !register.WasAccepted(&order) {
			r.t.Fatalf("configuration %d was acknowledged and is lost", order.Number)
		}
	}
	r.wantAcknowledgedTurns()
	if len(r.load.turns) == 0 || len(r.load.orders) == 0 {
		r.t.Error("nothing was acknowledged")
	}
}

// wantAcknowledgedTurns ends all acknowledged turns: none may be lost.
func (r *repair) wantAcknowledgedTurns() {
	r.t.Helper()
	verdicts := map[string]program.Verdict{}
	for _, name := range slices.Sorted(maps.Keys(r.load.turns)) {
		_, leader := r.shardLeader(r.load.turns[name])
		if leader == nil {
			r.t.Fatalf("shard %d has no leader", r.load.turns[name])
		}
		end := program.EndTurn{Turn: name, Complete: true, Tokens: 1, AtMs: r.time().UnixMilli()}
		leader.ProposeAsync(program.Command{End: &end}, func(value any, err error) {
			if result, ok := value.(program.UnjoinedResult); ok && err == nil {
				verdicts[name] = result.Verdict
			}
		})
	}
	r.until("all turns are ended", 5*time.Second, func() bool { return len(verdicts) == len(r.load.turns) })
	for _, name := range slices.Sorted(maps.Keys(verdicts)) {
		if verdicts[name] != program.Accepted {
			r.t.Fatalf("turn %s of shard %d was acknowledged, but the verdict on its end is %s", name, r.load.turns[name], verdicts[name])
		}
	}
}

// TestRepair_SecondLossRightAfter_LosesNothing runs every pair of faults, the second one as soon as it is allowed, and likewise a final
// fault.
func TestRepair_SecondLossRightAfter_LosesNothing(t *testing.T) {
	sites := []struct {
		name string
		env  environment
	}{{"fast", fastSite}, {"slow", slowSite}, {"large and fast", fastSite.large()}, {"large and slow", slowSite.large()}}
	number := 0
	for _, role := range []membership.Role{membership.Store, membership.Controller} {
		for _, first := range faults {
			for _, second := range faults {
				if role == membership.Controller && (first == decommissioned || second == decommissioned) {
					continue
				}
				number++
				for i, site := range sites {
					if !*allPairs && ((number+number/7)%2 != i || number%pairStride != 0) {
						continue
					}
					t.Run(fmt.Sprintf("%s, %s, then %s, %s site", role, first, second, site.name), func(t *testing.T) {
						t.Parallel()
						r := newRepair(t, role, site.env, first, second)
						r.injectAtOldest(first)
						r.injectAtOldest(second)
						r.finalFault()
						r.wantRecovered()
						t.Logf("the longest time without an acknowledgement of a group was %v", r.load.longestOutage)
					})
				}
			}
		}
	}
}

// TestRepair_TwoLossesAtOnce_BothRepaired has two of eight stores lost permanently at once, and each replaced by an empty one.
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

// TestGroupReport_DeposedLeader_NotConfirmed partitions the leader of a shard, which doesn't detect that at once: it must not report
// on its group, neither then nor after the partition.
func TestGroupReport_DeposedLeader_NotConfirmed(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	at, _ := cluster.shardLeader(0)
	at.partition()
	var reported []int
	at.store.ReportMembers(func(response wire.ShardMembersResponse) {
		for _, shard := range response.Shards {
			reported = append(reported, shard.Shard)
		}
	})
	cluster.run(3 * time.Second)
	at.heal()
	cluster.run(3 * time.Second)
	if len(reported) > 0 {
		t.Errorf("a leader without a majority reported on shards %v", reported)
	}
}
