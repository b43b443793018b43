package membership

import (
	"fmt"
	"time"
)

// scenario returns an error when the protocol violates what its name says.
type scenario struct {
	name string
	run  func(seed uint64) error
}

// startedCluster returns a network whose hosts have all started and met.
func startedCluster(size int, seed uint64) (*cluster, error) {
	w := newCluster(size, seed)
	w.startAll()
	w.runFor(300 * time.Millisecond)
	if _, done := w.runUntil(15*time.Second, w.converged); !done {
		return w, fmt.Errorf("not all members met:\n%s", w.disagreements())
	}
	return w, nil
}

// expectConverged runs until all running hosts agree.
func expectConverged(w *cluster, limit time.Duration) error {
	if _, done := w.runUntil(limit, w.converged); !done {
		return fmt.Errorf("not converged after %v:\n%s", limit, w.disagreements())
	}
	return nil
}

func expectNoDeath(w *cluster, since time.Duration, expected ...string) error {
	if deaths := w.died(since, expected...); len(deaths) > 0 {
		return fmt.Errorf("%d false deaths, first: %s", len(deaths), deaths[0])
	}
	return nil
}

var scenarios = []scenario{
	{"given loss and duplicates, when nothing else happens, then nobody dies", calm},
	{"given a calm network, when a member is killed, then all see it dead", killed},
	{"given a killed member, when it restarts, then all know the new process", restarts},
	{"given a killed member, when it restarts with its clock set back, then all know it", clockBack},
	{"given a pending probe, when the member freezes, then it suspects nobody", frozenMember},
	{"given a calm network, when a member is slow, then nobody else dies", slowMember},
	{"given a one-way partition, when probes are lost, then indirect probes reach the target", oneWayPartition},
	{"given an isolated member, when it is back, then it declares nobody dead", isolatedMember},
	{"given two halves, when the partition heals, then they meet again", halves},
	{"given two partitions that have forgotten each other, when they heal, then they meet", forgottenPartitions},
	{"given a healthy member, when it is suspected, then it refutes", suspected},
	{"given a new process, when a stale update arrives, then the record stays", staleUpdate},
	{"given a calm network, when a member leaves, then all know and nobody declares it dead", leaves},
	{"given stale seeds, when one is right or is replaced, then the member joins", staleSeeds},
	{"given seeds that are down, when they start, then all meet", seedsDown},
	{"given a hundred members, when they start at once, then datagrams stay small", manyJoin},
	{"given a dead member, when its tombstone expires, then it is reaped", reaped},
}

func calm(seed uint64) error {
	w, err := startedCluster(24, seed)
	if err != nil {
		return err
	}
	w.duplicate = 0.02
	w.runFor(60 * time.Second)
	if err := expectNoDeath(w, 0); err != nil {
		return err
	}
	return expectConverged(w, 0)
}

func killed(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	w.runFor(5 * time.Second)
	victim := w.hosts[w.random.IntN(len(w.hosts))]
	killedAt := w.loop.Now()
	w.kill(victim)
	if err := expectConverged(w, 12*time.Second); err != nil {
		return err
	}
	w.runFor(10 * time.Second)
	return expectNoDeath(w, killedAt, victim.member.Name)
}

func restarts(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	w.runFor(5 * time.Second)
	victim := w.hosts[w.random.IntN(len(w.hosts))]
	w.kill(victim)
	w.runFor(time.Duration(w.random.Int64N(int64(10 * time.Second))))
	victim.member.ID = "after the disk was wiped"
	w.start(victim)
	restarted := w.loop.Now()
	knowNewID := func() bool {
		for _, h := range w.running() {
			for _, member := range h.node.Members() {
				if member.Name == victim.member.Name && (member.ID != victim.member.ID || member.State != StateAlive) {
					return false
				}
			}
		}
		return w.converged()
	}
	if _, done := w.runUntil(10*time.Second, knowNewID); !done {
		return fmt.Errorf("the new process is not known to all")
	}
	w.runFor(20 * time.Second)
	for _, h := range w.hosts {
		for _, change := range h.events {
			if change.Kind == MemberDied && change.At >= restarted && change.Member.Incarnation >= victim.member.Incarnation {
				return fmt.Errorf("%s declared the new process of %s dead", h.member.Name, change.Member.Name)
			}
		}
	}
	return nil
}

func clockBack(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := w.hosts[w.random.IntN(len(w.hosts))]
	w.kill(victim)
	w.runFor(8 * time.Second)
	victim.starts++
	victim.member.Incarnation = epochMs - 3_600_000
	victim.node = New(Options{Self: victim.member, Seeds: victim.seeds, Seed: seed})
	w.step(victim, Input{})
	return expectConverged(w, 10*time.Second)
}

func frozenMember(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := w.hosts[w.random.IntN(len(w.hosts))]
	for range 6 {
		w.runUntilProbing(victim)
		w.freeze(victim, 8*time.Second)
		w.runFor(8*time.Second + 50*time.Millisecond)
		if accused := suspectedBy(victim, w.loop.Now()-51*time.Millisecond); accused > 0 {
			return fmt.Errorf("%d suspected by the frozen member right after its freeze", accused)
		}
		w.runFor(4 * time.Second)
	}
	if err := expectNoDeath(w, 0, victim.member.Name); err != nil {
		return err
	}
	return expectConverged(w, 10*time.Second)
}

// suspectedBy counts the members that a host has suspected by itself since a time.
func suspectedBy(h *host, since time.Duration) int {
	count := 0
	for _, accusation := range h.suspicions {
		if accusation.at >= since {
			count++
		}
	}
	return count
}

func slowMember(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := w.hosts[w.random.IntN(len(w.hosts))]
	victim.lag = time.Duration(200+w.random.IntN(1000)) * time.Millisecond
	w.runFor(60 * time.Second)
	victim.lag = 0
	if err := expectNoDeath(w, 0, victim.member.Name); err != nil {
		return err
	}
	return expectConverged(w, 15*time.Second)
}

func oneWayPartition(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	first, second := w.hosts[2], w.hosts[9]
	w.blocked = func(from, to *host) bool { return from == first && to == second }
	w.runFor(120 * time.Second)
	for _, h := range []*host{first, second} {
		if count := suspectedBy(h, 0); count > 2 {
			return fmt.Errorf("%s suspected others %d times in spite of indirect probes", h.member.Name, count)
		}
	}
	if err := expectNoDeath(w, 0); err != nil {
		return err
	}
	return expectConverged(w, 0)
}

func isolatedMember(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := w.hosts[w.random.IntN(len(w.hosts))]
	w.blocked = func(from, to *host) bool { return from == victim || to == victim }
	w.runFor(time.Duration(30+w.random.IntN(15)) * time.Second)
	w.blocked = func(from, to *host) bool { return false }
	healed := w.loop.Now()
	if err := expectConverged(w, 20*time.Second); err != nil {
		return err
	}
	w.runFor(20 * time.Second)
	for _, h := range w.hosts {
		if h == victim {
			continue
		}
		for _, change := range h.events {
			if change.Kind == MemberDied && change.At >= healed {
				return fmt.Errorf("%s declared %s dead after the heal", h.member.Name, change.Member.Name)
			}
		}
	}
	return expectConverged(w, 0)
}

func halves(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	half := map[*host]bool{}
	for _, i := range w.random.Perm(len(w.hosts))[:len(w.hosts)/2] {
		half[w.hosts[i]] = true
	}
	w.blocked = func(from, to *host) bool { return half[from] != half[to] }
	w.runFor(30 * time.Second)
	for _, h := range w.hosts {
		if len(h.live()) != len(w.hosts)/2 {
			return fmt.Errorf("%s has %d live members during the partition", h.member.Name, len(h.live()))
		}
	}
	w.blocked = func(from, to *host) bool { return false }
	if err := expectConverged(w, 20*time.Second); err != nil {
		return err
	}
	w.runFor(20 * time.Second)
	return expectConverged(w, 0)
}

func forgottenPartitions(seed uint64) error {
	w := newCluster(16, seed)
	w.tombstoneTimeout = 20 * time.Second
	w.blocked = func(from, to *host) bool { return (from == w.hosts[0]) != (to == w.hosts[0]) }
	w.startAll()
	w.runFor(60 * time.Second)
	w.blocked = func(from, to *host) bool { return false }
	return expectConverged(w, 30*time.Second)
}

func suspected(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	w.runFor(3 * time.Second)
	victim, liar := w.hosts[4].member, w.hosts[5]
	accusation := Update{Member: liar.node.table.entries[victim.Name].Member, From: "edge-nowhere/agent"}
	accusation.State = StateSuspect
	for _, h := range w.hosts[:4] {
		message := Message{Kind: MsgGossip, From: liar.member.Name, Incarnation: liar.node.self.Incarnation, Updates: []Update{accusation}}
		w.step(h, Input{Datagrams: []Datagram{{liar.member.Address, message}}})
	}
	w.runFor(20 * time.Second)
	if err := expectNoDeath(w, 0); err != nil {
		return err
	}
	return expectConverged(w, 0)
}

func staleUpdate(seed uint64) error {
	w, err := startedCluster(8, seed)
	if err != nil {
		return err
	}
	victim, observer := w.hosts[6], w.hosts[7]
	old := observer.node.table.entries[victim.member.Name].Member
	w.kill(victim)
	w.runFor(2 * time.Second)
	victim.member.ID = "second"
	w.start(victim)
	w.runFor(5 * time.Second)
	message := Message{Kind: MsgGossip, From: w.hosts[0].member.Name, Updates: []Update{{Member: old}}}
	w.step(observer, Input{Datagrams: []Datagram{{w.hosts[0].member.Address, message}}})
	if known := observer.node.table.entries[victim.member.Name]; known.ID != "second" {
		return fmt.Errorf("the record went back to %v", known.Member)
	}
	return nil
}

func leaves(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	victim := w.hosts[w.random.IntN(len(w.hosts))]
	w.step(victim, Input{Leave: true})
	w.runFor(500 * time.Millisecond)
	w.kill(victim)
	if err := expectConverged(w, 6*time.Second); err != nil {
		return err
	}
	return expectNoDeath(w, 0)
}

func staleSeeds(seed uint64) error {
	w, err := startedCluster(16, seed)
	if err != nil {
		return err
	}
	added := w.addHost(len(w.hosts))
	added.seeds = []string{"10.9.9.9:7380", "10.9.9.8:7380", w.hosts[1].member.Address}
	w.start(added)
	if err := expectConverged(w, 10*time.Second); err != nil {
		return err
	}
	lost := w.addHost(len(w.hosts))
	lost.seeds = []string{"10.9.9.9:7380"}
	w.start(lost)
	w.runFor(5 * time.Second)
	w.step(lost, Input{Seeds: []string{w.hosts[2].member.Address}})
	return expectConverged(w, 10*time.Second)
}

func seedsDown(seed uint64) error {
	w := newCluster(12, seed)
	for _, h := range w.hosts[3:] {
		w.start(h)
	}
	w.runFor(10 * time.Second)
	for _, h := range w.hosts[:3] {
		w.start(h)
	}
	return expectConverged(w, 10*time.Second)
}

func manyJoin(seed uint64) error {
	w := newCluster(100, seed)
	w.measure = true
	w.startAll()
	w.runFor(300 * time.Millisecond)
	if err := expectConverged(w, 15*time.Second); err != nil {
		return err
	}
	if w.largest > MaxDatagramBytes {
		return fmt.Errorf("a datagram of %d bytes", w.largest)
	}
	return expectNoDeath(w, 0)
}

func reaped(seed uint64) error {
	w := newCluster(8, seed)
	w.tombstoneTimeout = 10 * time.Second
	w.startAll()
	w.runFor(5 * time.Second)
	w.kill(w.hosts[7])
	w.runFor(40 * time.Second)
	for _, h := range w.running() {
		if members := h.node.Members(); len(members) != 7 {
			return fmt.Errorf("%s still has %d members", h.member.Name, len(members))
		}
	}
	return nil
}
