package controller

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var partitionSeeds = flag.Int("cut-seeds", 1, "number of seeds for each scenario of a partitioned controller")

// joiningStore is the store that joins during the partition.
var joiningStore = fmt.Sprintf("storage-%d", initialStores+1)

// Timing of a scenario.
const (
	partitionDuration = 8 * time.Second // the minimum; other seeds take up to twice that
	afterDuration     = 6 * time.Second // from the end of the partition to the end of the scenario
	serviceRestoredIn = 3 * time.Second // until the other machines serve during the partition, and all machines after its end
	joinsAfter        = 3 * time.Second // from the start of the partition until a store is added
	maxCallDelay      = 800 * time.Millisecond
)

// role is the role of a machine before it is partitioned.
type role string

const (
	leaderRole       role = "leader"
	formerLeaderRole role = "former leader"
	followerRole     role = "follower"
	standbyRole      role = "standby controller"
)

// partitionKind is the kind of a machine's partition.
type partitionKind string

const (
	fromAll          partitionKind = "partitioned from all"
	fromMajority     partitionKind = "partitioned from the majority"
	fromOne          partitionKind = "partitioned from one member"
	inward           partitionKind = "inbound links blocked"
	outward          partitionKind = "outbound links blocked"
	frozenMachine    partitionKind = "frozen"
	allFromEachOther partitionKind = "all partitioned from each other"
)

// TestPartitionedController_AnswersStayLinearizable partitions a controller of each role in each way, while operators call every
// machine. Every response must return the newest state that a majority has confirmed, redirect, or say that the state is unknown.
func TestPartitionedController_AnswersStayLinearizable(t *testing.T) {
	for _, victimRole := range []role{leaderRole, formerLeaderRole, followerRole, standbyRole} {
		for _, partition := range []partitionKind{fromAll, fromMajority, fromOne, inward, outward, frozenMachine} {
			t.Run(fmt.Sprintf("%s, %s", victimRole, partition), func(t *testing.T) { runPartition(t, victimRole, partition) })
		}
	}
	t.Run("all partitioned from each other", func(t *testing.T) { runPartition(t, leaderRole, allFromEachOther) })
}

func runPartition(t *testing.T, victimRole role, partition partitionKind) {
	t.Parallel()
	for seed := range *partitionSeeds {
		synctest.Test(t, func(t *testing.T) {
			s := newScenario(t, uint64(seed))
			victim := s.machineOf(victimRole)
			s.startOperators()
			time.Sleep(time.Second)
			s.startPartition(victim, partition)
			time.Sleep(joinsAfter)
			s.cluster.join()
			time.Sleep(partitionDuration - joinsAfter + time.Duration(seed)*time.Second%partitionDuration)
			s.endPartition(victim, partition)
			time.Sleep(afterDuration)
			s.stop()
			s.verify(victim, partition)
		})
	}
}

// scenario is a cluster with its operators and one partition.
type scenario struct {
	t            *testing.T
	seed         uint64
	cluster      *partitionedCluster
	leaderBefore int       // the leader before the partition
	peer         int       // for fromOne: the member from which the victim is partitioned
	began        time.Time // start of the partition
	ended        time.Time // end of the partition
	over         chan struct{}
	active       sync.WaitGroup

	mutex   sync.Mutex
	history callHistory
	numbers uint64
}

func newScenario(t *testing.T, seed uint64) *scenario {
	s := &scenario{t: t, seed: seed, cluster: newPartitionedCluster(t, seed), over: make(chan struct{})}
	s.cluster.leader()
	time.Sleep(13 * time.Second) // until the leader considers its view of machines complete
	return s
}

// machineOf returns a machine of that role. For formerLeaderRole it transfers the leadership away.
func (s *scenario) machineOf(victimRole role) int {
	leader := s.cluster.leader()
	switch victimRole {
	case formerLeaderRole:
		s.cluster.machines[leader].controller.Group().TransferLeadership()
		s.cluster.machines[leader].wakeUp()
		time.Sleep(time.Second)
		if s.cluster.leader() == leader {
			s.t.Fatal("the leader has not changed")
		}
	case followerRole:
		return s.cluster.others(leader)[0]
	case standbyRole:
		return len(s.cluster.machines) - 1
	}
	return leader
}

// linksOf lists the links that a partition blocks.
func (s *scenario) linksOf(victim int, partition partitionKind) []link {
	var links []link
	others := s.cluster.others(victim)
	members := s.members(victim)
	switch partition {
	case fromMajority:
		others = members
	case fromOne:
		others = members[:1]
		s.peer = members[0]
	case allFromEachOther:
		for a := range s.cluster.machines {
			for _, b := range s.cluster.others(a) {
				links = append(links, link{a, b})
			}
		}
		return links
	case frozenMachine:
		return nil
	}
	for _, other := range others {
		if partition != inward {
			links = append(links, link{victim, other})
		}
		if partition != outward {
			links = append(links, link{other, victim})
		}
	}
	return links
}

// members lists the group's members without the victim, the leader first.
func (s *scenario) members(victim int) []int {
	leader := s.cluster.leader()
	members := []int{leader}
	for number := range s.cluster.kind.group {
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

func (s *scenario) startPartition(victim int, partition partitionKind) {
	s.began, s.leaderBefore = time.Now(), s.cluster.leader()
	base := s.read(victim)
	if partition == frozenMachine {
		s.cluster.freeze(victim)
	}
	s.cluster.setBlocked(true, s.linksOf(victim, partition)...)
	// Send an order before the machine can detect the partition.
	s.active.Go(func() { s.replace(victim, base, s.random(victim, 5)) })
}

func (s *scenario) endPartition(victim int, partition partitionKind) {
	s.ended = time.Now()
	if partition == frozenMachine {
		s.cluster.thaw(victim)
	}
	var blocked []link
	s.cluster.mutex.Lock()
	for l, isBlocked := range s.cluster.blocked {
		if isBlocked {
			blocked = append(blocked, l)
		}
	}
	s.cluster.mutex.Unlock()
	s.cluster.setBlocked(false, blocked...)
}

// join has the joining store join.
func (c *partitionedCluster) join() {
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
	time.Sleep(time.Second) // until the requests in progress at the machines have ended
}
