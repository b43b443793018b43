package controller

import (
	"flag"
	"fmt"
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
	joinsAfter        = 3 * time.Second // from the start of the partition until a store is added
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

// linksOf lists the links that a partition blocks.
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
