package membership

import (
	"fmt"
	"time"
)

// scenario is a test case whose run returns an error if the protocol violates the behaviour in its name.
type scenario struct {
	name string
	run  func(seed uint64) error
}

// startedCluster returns a cluster whose hosts have all started and know each other.
func startedCluster(size int, seed uint64) (*cluster, error) {
	fleet := newCluster(size, seed)
	fleet.startAll()
	fleet.runFor(300 * time.Millisecond)
	if _, done := fleet.runUntil(15*time.Second, fleet.converged); !done {
		return fleet, fmt.Errorf("not all members know each other:\n%s", fleet.disagreements())
	}
	return fleet, nil
}

// expectConverged runs until all running hosts agree on who is running, for at most the limit.
func expectConverged(fleet *cluster, limit time.Duration) error {
	if _, done := fleet.runUntil(limit, fleet.converged); !done {
		return fmt.Errorf("not converged after %v:\n%s", limit, fleet.disagreements())
	}
	return nil
}

func expectNoDeath(fleet *cluster, since time.Duration, expected ...string) error {
	if deaths := fleet.died(since, expected...); len(deaths) > 0 {
		return fmt.Errorf("%d false deaths, first: %s", len(deaths), deaths[0])
	}
	return nil
}

var scenarios = []scenario{
	{"given loss and duplicates, when nothing else happens, then no member is declared dead", lossAndDuplicates},
	{"given a network without faults, when a member is killed, then all declare it dead", killed},
	{"given a killed member, when it restarts, then all know the new process", restarts},
	{"given a killed member, when it restarts with its clock set back, then all know it", clockBack},
	{"given a pending probe, when the member freezes, then it suspects no member", frozenMember},
	{"given a network without faults, when a member is slow, then no other member is declared dead", slowMember},
	{"given a one-way partition, when probes are lost, then indirect probes reach the target", oneWayPartition},
	{"given an isolated member, when it is back, then it declares no member dead", isolatedMember},
	{"given two halves, when the partition heals, then they merge again", halves},
	{"given two partitions that have forgotten each other, when they heal, then they merge", forgottenPartitions},
	{"given a healthy member, when it is suspected, then it refutes", suspected},
	{"given a new process, when a stale update arrives, then the record stays", staleUpdate},
	{"given a network without faults, when a member leaves, then all know that it has left and none declares it dead", gracefulLeave},
	{"given stale seeds, when one is valid or is replaced, then the member joins", staleSeeds},
	{"given seeds that are down, when they start, then all members know each other", seedsDown},
	{"given a hundred members, when they start at once, then datagrams stay small", manyJoin},
	{"given a dead member, when its tombstone expires, then it is reaped", reaped},
}

func lossAndDuplicates(seed uint64) error {
	fleet, err := startedCluster(24, seed)
	if err != nil {
		return err
	}
	fleet.duplicate = 0.02
	fleet.runFor(60 * time.Second)
	if err := expectNoDeath(fleet, 0); err != nil {
		return err
	}
	return expectConverged(fleet, 0)
}

func killed(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	fleet.runFor(5 * time.Second)
	victim := fleet.hosts[fleet.random.IntN(len(fleet.hosts))]
	killedAt := fleet.loop.Now()
	fleet.kill(victim)
	if err := expectConverged(fleet, 12*time.Second); err != nil {
		return err
	}
	fleet.runFor(10 * time.Second)
	return expectNoDeath(fleet, killedAt, victim.member.Name)
}

func restarts(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	fleet.runFor(5 * time.Second)
	victim := fleet.hosts[fleet.random.IntN(len(fleet.hosts))]
	fleet.kill(victim)
	fleet.runFor(time.Duration(fleet.random.Int64N(int64(10 * time.Second))))
	victim.member.ID = "after the disk was wiped"
	fleet.start(victim)
	restarted := fleet.loop.Now()
	knowNewID := func() bool {
		for _, h := range fleet.running() {
			for _, member := range h.node.Members() {
				if member.Name == victim.member.Name && (member.ID != victim.member.ID || member.State != StateAlive) {
					return false
				}
			}
		}
		return fleet.converged()
	}
	if _, done := fleet.runUntil(10*time.Second, knowNewID); !done {
		return fmt.Errorf("not all members know the new process")
	}
	fleet.runFor(20 * time.Second)
	for _, h := range fleet.hosts {
		for _, change := range h.events {
			if change.Kind == MemberDied && change.At >= restarted && change.Member.Incarnation >= victim.member.Incarnation {
				return fmt.Errorf("%s declared the new process of %s dead", h.member.Name, change.Member.Name)
			}
		}
	}
	return nil
}

func clockBack(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := fleet.hosts[fleet.random.IntN(len(fleet.hosts))]
	fleet.kill(victim)
	fleet.runFor(8 * time.Second)
	victim.starts++
	victim.member.Incarnation = epochMs - 3_600_000
	victim.node = New(Options{Self: victim.member, Seeds: victim.seeds, Seed: seed})
	fleet.step(victim, Input{})
	return expectConverged(fleet, 10*time.Second)
}

func frozenMember(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := fleet.hosts[fleet.random.IntN(len(fleet.hosts))]
	for range 6 {
		fleet.runUntilProbing(victim)
		fleet.freeze(victim, 8*time.Second)
		fleet.runFor(8*time.Second + 50*time.Millisecond)
		if count := suspectedBy(victim, fleet.loop.Now()-51*time.Millisecond); count > 0 {
			return fmt.Errorf("the frozen member suspected %d members right after its freeze, want 0", count)
		}
		fleet.runFor(4 * time.Second)
	}
	if err := expectNoDeath(fleet, 0, victim.member.Name); err != nil {
		return err
	}
	return expectConverged(fleet, 10*time.Second)
}

// suspectedBy counts the suspicions that a host has originated since a time.
func suspectedBy(h *host, since time.Duration) int {
	count := 0
	for _, recorded := range h.suspicions {
		if recorded.at >= since {
			count++
		}
	}
	return count
}

func slowMember(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := fleet.hosts[fleet.random.IntN(len(fleet.hosts))]
	victim.lag = time.Duration(200+fleet.random.IntN(1000)) * time.Millisecond
	fleet.runFor(60 * time.Second)
	victim.lag = 0
	if err := expectNoDeath(fleet, 0, victim.member.Name); err != nil {
		return err
	}
	return expectConverged(fleet, 15*time.Second)
}

func oneWayPartition(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	first, second := fleet.hosts[2], fleet.hosts[9]
	fleet.blocked = func(from, to *host) bool { return from == first && to == second }
	fleet.runFor(120 * time.Second)
	for _, h := range []*host{first, second} {
		if count := suspectedBy(h, 0); count > 2 {
			return fmt.Errorf("%s suspected members %d times despite indirect probes, want at most 2", h.member.Name, count)
		}
	}
	if err := expectNoDeath(fleet, 0); err != nil {
		return err
	}
	return expectConverged(fleet, 0)
}

func isolatedMember(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := fleet.hosts[fleet.random.IntN(len(fleet.hosts))]
	fleet.blocked = func(from, to *host) bool { return from == victim || to == victim }
	fleet.runFor(time.Duration(30+fleet.random.IntN(15)) * time.Second)
	fleet.blocked = func(_, _ *host) bool { return false }
	healed := fleet.loop.Now()
	if err := expectConverged(fleet, 20*time.Second); err != nil {
		return err
	}
	fleet.runFor(20 * time.Second)
	for _, h := range fleet.hosts {
		if h == victim {
			continue
		}
		for _, change := range h.events {
			if change.Kind == MemberDied && change.At >= healed {
				return fmt.Errorf("%s declared %s dead after the heal", h.member.Name, change.Member.Name)
			}
		}
	}
	return expectConverged(fleet, 0)
}

func halves(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	half := map[*host]bool{}
	for _, i := range fleet.random.Perm(len(fleet.hosts))[:len(fleet.hosts)/2] {
		half[fleet.hosts[i]] = true
	}
	fleet.blocked = func(from, to *host) bool { return half[from] != half[to] }
	fleet.runFor(30 * time.Second)
	for _, h := range fleet.hosts {
		if len(h.live()) != len(fleet.hosts)/2 {
			return fmt.Errorf("%s has %d live members during the partition, want half of all", h.member.Name, len(h.live()))
		}
	}
	fleet.blocked = func(_, _ *host) bool { return false }
	if err := expectConverged(fleet, 20*time.Second); err != nil {
		return err
	}
	fleet.runFor(20 * time.Second)
	return expectConverged(fleet, 0)
}

func forgottenPartitions(seed uint64) error {
	fleet := newCluster(16, seed)
	fleet.tombstoneTimeout = 20 * time.Second
	fleet.blocked = func(from, to *host) bool { return (from == fleet.hosts[0]) != (to == fleet.hosts[0]) }
	fleet.startAll()
	fleet.runFor(60 * time.Second)
	fleet.blocked = func(_, _ *host) bool { return false }
	return expectConverged(fleet, 30*time.Second)
}

func suspected(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	fleet.runFor(3 * time.Second)
	victim, sender := fleet.hosts[4].member, fleet.hosts[5]
	falseSuspicion := Update{Member: sender.node.table.entries[victim.Name].Member, From: "edge-nowhere/agent"}
	falseSuspicion.State = StateSuspect
	for _, h := range fleet.hosts[:4] {
		message := Message{Kind: MsgGossip, From: sender.member.Name, Incarnation: sender.node.self.Incarnation, Updates: []Update{falseSuspicion}}
		fleet.step(h, Input{Datagrams: []Datagram{{sender.member.Address, message}}})
	}
	fleet.runFor(20 * time.Second)
	if err := expectNoDeath(fleet, 0); err != nil {
		return err
	}
	return expectConverged(fleet, 0)
}

func staleUpdate(seed uint64) error {
	fleet, err := startedCluster(8, seed)
	if err != nil {
		return err
	}
	victim, observer := fleet.hosts[6], fleet.hosts[7]
	old := observer.node.table.entries[victim.member.Name].Member
	fleet.kill(victim)
	fleet.runFor(2 * time.Second)
	victim.member.ID = "second"
	fleet.start(victim)
	fleet.runFor(5 * time.Second)
	message := Message{Kind: MsgGossip, From: fleet.hosts[0].member.Name, Updates: []Update{{Member: old}}}
	fleet.step(observer, Input{Datagrams: []Datagram{{fleet.hosts[0].member.Address, message}}})
	if known := observer.node.table.entries[victim.member.Name]; known.ID != "second" {
		return fmt.Errorf("the record reverted to %v", known.Member)
	}
	return nil
}

func gracefulLeave(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := fleet.hosts[fleet.random.IntN(len(fleet.hosts))]
	fleet.step(victim, Input{Leave: true})
	fleet.runFor(500 * time.Millisecond)
	fleet.kill(victim)
	if err := expectConverged(fleet, 6*time.Second); err != nil {
		return err
	}
	return expectNoDeath(fleet, 0)
}

func staleSeeds(seed uint64) error {
	fleet, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	added := fleet.addHost(len(fleet.hosts))
	added.seeds = []string{"10.9.9.9:7380", "10.9.9.8:7380", fleet.hosts[1].member.Address}
	fleet.start(added)
	if err := expectConverged(fleet, 10*time.Second); err != nil {
		return err
	}
	lost := fleet.addHost(len(fleet.hosts))
	lost.seeds = []string{"10.9.9.9:7380"}
	fleet.start(lost)
	fleet.runFor(5 * time.Second)
	fleet.step(lost, Input{Seeds: []string{fleet.hosts[2].member.Address}})
	return expectConverged(fleet, 10*time.Second)
}

func seedsDown(seed uint64) error {
	fleet := newCluster(12, seed)
	for _, h := range fleet.hosts[3:] {
		fleet.start(h)
	}
	fleet.runFor(10 * time.Second)
	for _, h := range fleet.hosts[:3] {
		fleet.start(h)
	}
	return expectConverged(fleet, 10*time.Second)
}

func manyJoin(seed uint64) error {
	fleet := newCluster(100, seed)
	fleet.measure = true
	fleet.startAll()
	fleet.runFor(300 * time.Millisecond)
	if err := expectConverged(fleet, 15*time.Second); err != nil {
		return err
	}
	if fleet.largest > MaxDatagramBytes {
		return fmt.Errorf("a datagram has %d bytes, more than MaxDatagramBytes", fleet.largest)
	}
	return expectNoDeath(fleet, 0)
}

func reaped(seed uint64) error {
	fleet := newCluster(8, seed)
	fleet.tombstoneTimeout = 10 * time.Second
	fleet.startAll()
	fleet.runFor(5 * time.Second)
	fleet.kill(fleet.hosts[7])
	fleet.runFor(40 * time.Second)
	for _, h := range fleet.running() {
		if members := h.node.Members(); len(members) != 7 {
			return fmt.Errorf("%s has %d members, want 7 after the tombstone is reaped", h.member.Name, len(members))
		}
	}
	return nil
}
