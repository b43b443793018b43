package controller

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var partitionSeeds = flag.Int("cut-seeds", 1, "seeds of each story of a controller that is cut off")

// joiningStore is the store that is added in the middle.
var joiningStore = fmt.Sprintf("storage-%d", initialStores+1)

// Times of a scenario.
const (
	partitionDuration = 8 * time.Second // and up to as much more with other seeds
	afterDuration     = 6 * time.Second // from the end of the partition to the end of the scenario
	serviceRestoredIn = 3 * time.Second // until those that aren't partitioned serve again, and all of them after its end
	joinsAfter        = 3 * time.Second // from the begin of the partition until a store is added
	maxCallDelay      = 800 * time.Millisecond
)

// role is what a machine is before it is partitioned.
type role string

const (
	leaderRole       role = "leader"
	formerLeaderRole role = "former leader"
	followerRole     role = "follower"
	standbyRole      role = "standby controller"
)

// partitionKind is from whom a machine is partitioned.
type partitionKind string

const (
	fromAll          partitionKind = "from all"
	fromMajority     partitionKind = "from the majority"
	fromOne          partitionKind = "from one zone"
	inward           partitionKind = "so that it hears nobody"
	outward          partitionKind = "so that nobody hears it"
	frozenMachine    partitionKind = "frozen"
	allFromEachOther partitionKind = "as all are from each other"
)

// TestPartitionedController_AnswersStayLinearizable has each kind of controller partitioned in each way, while operators go on at every machine. Every
// answer must be of the newest state that a majority has confirmed, or send on, or say that it can't be told.
func TestPartitionedController_AnswersStayLinearizable(t *testing.T) {
	for _, who := range []role{leaderRole, formerLeaderRole, followerRole, standbyRole} {
		for _, how := range []partitionKind{fromAll, fromMajority, fromOne, inward, outward, frozenMachine} {
			t.Run(fmt.Sprintf("given the %s, when it is cut off %s", who, how), func(t *testing.T) { runPartition(t, who, how) })
		}
	}
	t.Run("given all, when they are cut off from each other", func(t *testing.T) { runPartition(t, leaderRole, allFromEachOther) })
}

func runPartition(t *testing.T, who role, how partitionKind) {
	t.Parallel()
	for seed := range *partitionSeeds {
		synctest.Test(t, func(t *testing.T) {
			s := newScenario(t, uint64(seed))
			victim := s.machineOf(who)
			s.startOperators()
			time.Sleep(time.Second)
			s.startPartition(victim, how)
			time.Sleep(joinsAfter)
			s.core.join()
			time.Sleep(partitionDuration - joinsAfter + time.Duration(seed)*time.Second%partitionDuration)
			s.endPartition(victim, how)
			time.Sleep(afterDuration)
			s.stop()
			s.verify(victim, how)
		})
	}
}

// scenario is a core with its operators.
type scenario struct {
	t            *testing.T
	seed         uint64
	core         *core
	leaderBefore int       // the leader before the partition
	peer         int       // the one from which a machine is partitioned that is partitioned from one zone
	began        time.Time // the partition
	ended        time.Time
	over         chan struct{}
	active       sync.WaitGroup

	mutex   sync.Mutex
	history callHistory
	numbers uint64
}

func newScenario(t *testing.T, seed uint64) *scenario {
	s := &scenario{t: t, seed: seed, core: newCore(t, seed), over: make(chan struct{})}
	s.core.leader()
	time.Sleep(13 * time.Second) // the leader is sure of what it knows of machines
	return s
}

// machineOf is the machine of a role.
func (s *scenario) machineOf(who role) int {
	leader := s.core.leader()
	switch who {
	case formerLeaderRole:
		s.core.machines[leader].controller.Group().TransferLeadership()
		s.core.machines[leader].wakeUp()
		time.Sleep(time.Second)
		if s.core.leader() == leader {
			s.t.Fatal("the leader has not changed")
		}
	case followerRole:
		return s.core.others(leader)[0]
	case standbyRole:
		return len(s.core.machines) - 1
	}
	return leader
}

// linksOf lists the ways that a partition blocks.
func (s *scenario) linksOf(victim int, how partitionKind) []link {
	var ways []link
	others := s.core.others(victim)
	members := s.members(victim)
	switch how {
	case fromMajority:
		others = members
	case fromOne:
		others = members[:1]
		s.peer = members[0]
	case allFromEachOther:
		for a := range s.core.machines {
			for _, b := range s.core.others(a) {
				ways = append(ways, link{a, b})
			}
		}
		return ways
	case frozenMachine:
		return nil
	}
	for _, other := range others {
		if how != inward {
			ways = append(ways, link{victim, other})
		}
		if how != outward {
			ways = append(ways, link{other, victim})
		}
	}
	return ways
}

// members lists the group's members but one, the leader first.
func (s *scenario) members(victim int) []int {
	leader := s.core.leader()
	members := []int{leader}
	for number := range s.core.kind.group {
		if number != leader {
			members = append(members, number)
		}
	}
	var others []int
	for _, number := range members {
		if number != victim {
			others = append(others, number)
		}
	}
	return others
}

func (s *scenario) startPartition(victim int, how partitionKind) {
	s.began, s.leaderBefore = time.Now(), s.core.leader()
	base := s.read(victim)
	if how == frozenMachine {
		s.core.freeze(victim)
	}
	s.core.setBlocked(true, s.linksOf(victim, how)...)
	// An order comes in before the machine can know.
	s.active.Go(func() { s.replace(victim, base, s.random(victim, 5)) })
}

func (s *scenario) endPartition(victim int, how partitionKind) {
	s.ended = time.Now()
	if how == frozenMachine {
		s.core.thaw(victim)
	}
	var blocked []link
	s.core.mutex.Lock()
	for w, is := range s.core.blocked {
		if is {
			blocked = append(blocked, w)
		}
	}
	s.core.mutex.Unlock()
	s.core.setBlocked(false, blocked...)
}

// join adds a store.
func (c *core) join() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.joined = time.Now()
}

// startOperators starts the operators: at each machine one that replaces the configuration, one that asks for states, and one that
// goes from machine to machine with the other orders.
func (s *scenario) startOperators() {
	for _, m := range s.core.machines {
		s.active.Go(func() { s.configure(m.number) })
		s.active.Go(func() { s.readStates(m.number) })
	}
	s.active.Go(s.rollOut)
	s.active.Go(s.decommission)
}

func (s *scenario) isOver() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

func (s *scenario) stop() {
	close(s.over)
	s.active.Wait()
	time.Sleep(time.Second) // what is under way at the machines ends too
}

// random are the choices of one operator.
func (s *scenario) random(machine int, operator uint64) *rand.Rand {
	const streams = 8
	return rand.New(rand.NewPCG(s.seed*streams+uint64(machine), operator))
}

// sleepBetweenCalls lets some time pass between two calls of an operator.
func sleepBetweenCalls(random *rand.Rand) {
	time.Sleep(time.Duration(random.Int64N(int64(maxCallDelay))))
}

func (s *scenario) call(machine int, method, path, body string, order *sentOrder) *callResult {
	base := ""
	if order != nil {
		base = strconv.FormatUint(order.base, 10)
	}
	a := s.core.call(machine, method, path, body, base)
	a.order = order
	s.mutex.Lock()
	s.history.answers = append(s.history.answers, a)
	s.mutex.Unlock()
	return a
}

// configure replaces the configuration again and again, on top of what a machine tells.
func (s *scenario) configure(machine int) {
	random := s.random(machine, 1)
	for ; !s.isOver(); sleepBetweenCalls(random) {
		s.replace(machine, s.read(machine), random)
	}
}

// read returns the number of the configuration that a machine tells; 0: it tells none.
func (s *scenario) read(machine int) uint64 {
	var parsed struct{ Number uint64 }
	if a := s.call(machine, http.MethodGet, settingsPath, "", nil); a.code == http.StatusOK {
		if err := json.Unmarshal([]byte(a.body), &parsed); err != nil {
			s.t.Error(err)
		}
	}
	return parsed.Number
}

// replace sends a configuration to a machine, and again unchanged to any of them while the answer isn't clear.
func (s *scenario) replace(machine int, base uint64, random *rand.Rand) {
	const sends = 4
	order := s.newOrder(base)
	for range sends {
		a := s.call(machine, http.MethodPut, settingsPath, document(int(order.number)), order)
		if a.code == http.StatusOK || a.code == http.StatusPreconditionFailed || a.code == http.StatusBadRequest {
			return
		}
		machine = random.IntN(len(s.core.machines))
		sleepBetweenCalls(random)
	}
}

func (s *scenario) newOrder(base uint64) *sentOrder {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.numbers++
	order := &sentOrder{base: base, number: max(s.numbers, base+1), at: time.Now()}
	s.numbers = order.number
	s.history.orders = append(s.history.orders, order)
	return order
}

// readStates asks a machine for all states.
func (s *scenario) readStates(machine int) {
	random := s.random(machine, 2)
	for ; !s.isOver(); sleepBetweenCalls(random) {
		for _, path := range []string{settingsPath, rolloutsPath + "/lm", retirePath + "storage-1", retirePath + joiningStore} {
			s.call(machine, http.MethodGet, path, "", nil)
		}
	}
}

// rollOut orders one version after the other, each once the one before has ended.
func (s *scenario) rollOut() {
	random := s.random(0, 3)
	for version := uint64(1); !s.isOver(); version++ {
		order := &sentOrder{number: version, at: time.Now()}
		body := fmt.Sprintf(`{"service":"lm","target":%q,"overS":0.9}`, order.target())
		for !s.isOver() && s.call(random.IntN(len(s.core.machines)), http.MethodPost, rolloutsPath, body, order).code != http.StatusOK {
			sleepBetweenCalls(random)
		}
		for !s.isOver() {
			a := s.call(random.IntN(len(s.core.machines)), http.MethodGet, rolloutsPath+"/lm", "", nil)
			if a.code == http.StatusOK && !strings.Contains(a.body, "in_service") {
				break
			}
			sleepBetweenCalls(random)
		}
	}
}

// decommission has machines drained, and asks for it again and again.
func (s *scenario) decommission() {
	random := s.random(0, 4)
	for ; !s.isOver(); sleepBetweenCalls(random) {
		s.core.mutex.Lock()
		joined := s.core.joined
		s.core.mutex.Unlock()
		nodes := map[string]time.Time{"storage-1": {}, "storage-2": {}}
		if !joined.IsZero() {
			nodes[joiningStore] = joined.Add(time.Second)
		}
		for _, node := range []string{"storage-1", "storage-2", joiningStore} {
			if known, ok := nodes[node]; ok {
				s.call(random.IntN(len(s.core.machines)), http.MethodPost, retirePath+node, `{"overS":10}`, &sentOrder{at: known})
			}
		}
	}
}

// verify judges what the callers got.
func (s *scenario) verify(victim int, how partitionKind) {
	leader := s.core.machines[s.core.leader()].controller
	faults := s.history.verify(leader.state.configuration)
	const most = 5
	for _, fault := range faults[:min(most, len(faults))] {
		s.t.Error(fault)
	}
	if len(faults) > most {
		s.t.Errorf("and %d more", len(faults)-most)
	}
	s.checkRedirects(victim, how)
	s.checkAnswered(how)
	s.checkServes(victim, how)
	s.t.Logf("%d configurations were taken; %s", len(s.history.chain), s.history.counts())
}

// checkRedirects checks that nobody is sent to a machine that is out of reach, and that such a machine sends nobody on: from
// an election time-out on by members, which have heard nothing for so long, and by others from when membership notices.
func (s *scenario) checkRedirects(victim int, how partitionKind) {
	if how != fromAll && how != frozenMachine {
		return
	}
	// What came in before the partition is heard in the next turn, which may have to wait for the disk.
	slack := 4*coreLatency + 2*s.core.kind.slowDisk
	control := s.core.machines[victim].member.Control
	for _, a := range s.history.answers {
		for _, hop := range a.redirects {
			known := s.began.Add(electionTimeout + slack)
			if hop.from >= s.core.kind.group {
				known = s.began.Add(failureDetectionTime + slack)
			}
			if hop.at.Before(known) || hop.at.After(s.ended) {
				continue
			}
			if strings.Contains(hop.to, control) || hop.from == victim && how == fromAll {
				s.t.Errorf("core-%d sends to %s %v after core-%d was partitioned", hop.from+1, hop.to, hop.at.Sub(s.began), victim+1)
			}
		}
	}
}

// checkServes checks that those that aren't partitioned tell the configuration during the partition, and all of them after it, and that
// orders are taken in both times.
func (s *scenario) checkServes(victim int, how partitionKind) {
	during, after := s.served(s.began.Add(serviceRestoredIn), s.ended), s.served(s.ended.Add(serviceRestoredIn), time.Now())
	for _, m := range s.core.machines {
		if m.number != victim && how != allFromEachOther && !s.isPartitionedFromLeader(m.number, victim, how) && !during.answered[m.number] {
			s.t.Errorf("core-%d told nothing while core-%d was partitioned", m.number+1, victim+1)
		}
		if !after.answered[m.number] && !s.wasRemoved(m) {
			s.t.Errorf("core-%d told nothing after the partition", m.number+1)
		}
	}
	if how != allFromEachOther && during.accepted == 0 || after.accepted == 0 {
		s.t.Errorf("%d orders were taken during the partition, %d after it", during.accepted, after.accepted)
	}
}

// checkAnswered checks that callers aren't left without an answer within their time-out, except by a machine that is frozen.
func (s *scenario) checkAnswered(how partitionKind) {
	for _, a := range s.history.answers {
		if a.code == 0 && how != frozenMachine {
			s.t.Errorf("%s %s at core-%d from %v: no answer", a.method, a.path, a.first+1, a.began.Sub(s.began))
		}
	}
}

// service is what was served in some time.
type service struct {
	answered map[int]bool // whether the configuration was told, by the machine that was called
	accepted int          // configurations
}

func (s *scenario) served(from, to time.Time) service {
	served := service{answered: map[int]bool{}}
	for _, a := range s.history.answers {
		switch {
		case a.path != settingsPath || a.code != http.StatusOK || a.began.Before(from) || a.ended.After(to):
		case a.method == http.MethodGet:
			served.answered[a.first] = true
		default:
			served.accepted++
		}
	}
	return served
}

// isPartitionedFromLeader tells whether a member hears nothing of a leader that all others hear: it can't be elected, and answers 503.
func (s *scenario) isPartitionedFromLeader(number, victim int, how partitionKind) bool {
	return how == fromOne && s.leaderBefore == victim && number == s.peer
}

// wasRemoved tells whether a machine was replaced in the group during the partition and can't know it: the group doesn't write to
// it any more. It answers 503, and callers go on to the next one.
func (s *scenario) wasRemoved(m *coreMachine) bool {
	for _, member := range s.core.machines[s.core.leader()].controller.Group().Status().Members {
		if member.ID == m.member.ID {
			return false
		}
	}
	return true
}
