package membership

import (
	"fmt"
	"time"
)

// scenario is a story that ends in an error when the protocol does not keep what it promises.
type scenario struct {
	name string
	run  func(seed uint64) error
}

// began returns a network of which all hosts have started and found one another.
func began(size int, seed uint64) (*network, error) {
	w := newNetwork(size, seed)
	w.startAll()
	w.runFor(300 * time.Millisecond)
	if _, done := w.runUntil(15*time.Second, w.converged); !done {
		return w, fmt.Errorf("not all found one another:\n%s", w.disagreements())
	}
	return w, nil
}

// expectConverged runs until all running hosts agree.
func expectConverged(w *network, limit time.Duration) error {
	if _, done := w.runUntil(limit, w.converged); !done {
		return fmt.Errorf("not converged after %v:\n%s", limit, w.disagreements())
	}
	return nil
}

func expectNoDeath(w *network, since time.Duration, expected ...string) error {
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
	{"given a probe under way, when the member freezes, then it blames nobody", frozenMember},
	{"given a calm network, when a member is slow, then nobody else dies", slowMember},
	{"given a one-way cut, when probes are lost, then helpers clear the suspect", oneWayCut},
	{"given an isolated member, when it is back, then it takes nobody down", isolatedMember},
	{"given two halves, when the cut heals, then they meet again", halves},
	{"given two parts that have forgotten each other, when the cut heals, then they meet", forgottenHalves},
	{"given a healthy member, when it is accused, then it refutes", accused},
	{"given a new process, when old news comes late, then the record stays", oldNews},
	{"given a calm network, when a member leaves, then all know and nobody calls it dead", leaves},
	{"given stale seeds, when one is right or is replaced, then the member joins", staleSeeds},
	{"given seeds that are down, when they start, then all meet", seedsDown},
	{"given a hundred members, when they start at once, then datagrams stay small", manyJoin},
	{"given a dead member, when time passes, then it is forgotten", forgotten},
}

func calm(seed uint64) error {
	w, err := began(24, seed)
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
	w, err := began(16, seed)
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
	w, err := began(16, seed)
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
		for _, change := range h.changes {
			if change.Kind == MemberDied && change.At >= restarted && change.Member.Incarnation >= victim.member.Incarnation {
				return fmt.Errorf("%s took the new process of %s for dead", h.member.Name, change.Member.Name)
			}
		}
	}
	return nil
}

func clockBack(seed uint64) error {
	w, err := began(16, seed)
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
	w, err := began(16, seed)
	if err != nil {
		return err
	}
	victim := w.hosts[w.random.IntN(len(w.hosts))]
	for range 6 {
		w.runUntilProbing(victim)
		w.freeze(victim, 8*time.Second)
		w.runFor(8*time.Second + 50*time.Millisecond)
		if accused := accusedBy(victim, w.loop.Now()-51*time.Millisecond); accused > 0 {
			return fmt.Errorf("%d accused by the frozen member right after its freeze", accused)
		}
		w.runFor(4 * time.Second)
	}
	if err := expectNoDeath(w, 0, victim.member.Name); err != nil {
		return err
	}
	return expectConverged(w, 10*time.Second)
}

// accusedBy counts the members that a host has accused by itself since a moment.
func accusedBy(h *host, since time.Duration) int {
	count := 0
	for _, accusation := range h.accused {
		if accusation.at >= since {
			count++
		}
	}
	return count
}

func slowMember(seed uint64) error {
	w, err := began(16, seed)
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

func oneWayCut(seed uint64) error {
	w, err := began(16, seed)
	if err != nil {
		return err
	}
	first, second := w.hosts[2], w.hosts[9]
	w.blocked = func(from, to *host) bool { return from == first && to == second }
	w.runFor(120 * time.Second)
	for _, h := range []*host{first, second} {
		if count := accusedBy(h, 0); count > 2 {
			return fmt.Errorf("%s accused others %d times in spite of the helpers", h.member.Name, count)
		}
	}
	if err := expectNoDeath(w, 0); err != nil {
		return err
	}
	return expectConverged(w, 0)
}

func isolatedMember(seed uint64) error {
	w, err := began(16, seed)
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
		for _, change := range h.changes {
			if change.Kind == MemberDied && change.At >= healed {
				return fmt.Errorf("%s took %s for dead after the heal", h.member.Name, change.Member.Name)
			}
		}
	}
	return expectConverged(w, 0)
}

func halves(seed uint64) error {
	w, err := began(16, seed)
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
		if len(h.believed()) != len(w.hosts)/2 {
			return fmt.Errorf("%s believes in %d during the cut", h.member.Name, len(h.believed()))
		}
	}
	w.blocked = func(from, to *host) bool { return false }
	if err := expectConverged(w, 20*time.Second); err != nil {
		return err
	}
	w.runFor(20 * time.Second)
	return expectConverged(w, 0)
}

func forgottenHalves(seed uint64) error {
	w := newNetwork(16, seed)
	w.forgetAfter = 20 * time.Second
	w.blocked = func(from, to *host) bool { return (from == w.hosts[0]) != (to == w.hosts[0]) }
	w.startAll()
	w.runFor(60 * time.Second)
	w.blocked = func(from, to *host) bool { return false }
	return expectConverged(w, 30*time.Second)
}

func accused(seed uint64) error {
	w, err := began(16, seed)
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

func oldNews(seed uint64) error {
	w, err := began(8, seed)
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
	w, err := began(16, seed)
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
	w, err := began(16, seed)
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
	w := newNetwork(12, seed)
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
	w := newNetwork(100, seed)
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

func forgotten(seed uint64) error {
	w := newNetwork(8, seed)
	w.forgetAfter = 10 * time.Second
	w.startAll()
	w.runFor(5 * time.Second)
	w.kill(w.hosts[7])
	w.runFor(40 * time.Second)
	for _, h := range w.running() {
		if members := h.node.Members(); len(members) != 7 {
			return fmt.Errorf("%s still holds %d members", h.member.Name, len(members))
		}
	}
	return nil
}
