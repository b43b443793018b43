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

var cutSeeds = flag.Int("cut-seeds", 1, "seeds of each story of a controller that is cut off")

// joining is the store that is added in the middle.
var joining = fmt.Sprintf("storage-%d", mostStores+1)

// Times of a story.
const (
	cutLasts      = 8 * time.Second // and up to as much more with other seeds
	storyAfter    = 6 * time.Second // from the end of the cut to the end of the story
	servesIn      = 3 * time.Second // until those that aren't cut off serve again, and all of them after its end
	joinsAfter    = 3 * time.Second // from the begin of the cut until a store is added
	mostCallPause = 800 * time.Millisecond
)

// role is what a machine is before it is cut off.
type role string

const (
	owning    role = "owner"
	formerly  role = "former owner"
	following role = "member"
	standing  role = "controller that stands by"
)

// cutKind is from whom a machine is cut off.
type cutKind string

const (
	fromAll       cutKind = "from all"
	fromMajority  cutKind = "from the majority"
	fromOne       cutKind = "from one zone"
	inward        cutKind = "so that it hears nobody"
	outward       cutKind = "so that nobody hears it"
	standingStill cutKind = "frozen"
	apart         cutKind = "as all are from each other"
)

// TestPartitionedController_AnswersStayLinearizable has each kind of controller cut off in each way, while operators go on at every machine. Every
// answer must be of the newest state that a majority has confirmed, or send on, or say that it can't be told.
func TestPartitionedController_AnswersStayLinearizable(t *testing.T) {
	for _, who := range []role{owning, formerly, following, standing} {
		for _, how := range []cutKind{fromAll, fromMajority, fromOne, inward, outward, standingStill} {
			t.Run(fmt.Sprintf("given the %s, when it is cut off %s", who, how), func(t *testing.T) { playCut(t, who, how) })
		}
	}
	t.Run("given all, when they are cut off from each other", func(t *testing.T) { playCut(t, owning, apart) })
}

func playCut(t *testing.T, who role, how cutKind) {
	t.Parallel()
	for seed := range *cutSeeds {
		synctest.Test(t, func(t *testing.T) {
			s := newStory(t, uint64(seed))
			victim := s.find(who)
			s.operate()
			time.Sleep(time.Second)
			s.begin(victim, how)
			time.Sleep(joinsAfter)
			s.core.join()
			time.Sleep(cutLasts - joinsAfter + time.Duration(seed)*time.Second%cutLasts)
			s.end(victim, how)
			time.Sleep(storyAfter)
			s.close()
			s.check(victim, how)
		})
	}
}

// story is a core with its operators.
type story struct {
	t      *testing.T
	seed   uint64
	core   *core
	owned  int       // the owner before the cut
	peer   int       // the one from which a machine is cut off that is cut off from one zone
	began  time.Time // the cut
	ended  time.Time
	over   chan struct{}
	active sync.WaitGroup

	mutex   sync.Mutex
	history callHistory
	numbers uint64
}

func newStory(t *testing.T, seed uint64) *story {
	s := &story{t: t, seed: seed, core: newCore(t, seed), over: make(chan struct{})}
	s.core.owner()
	time.Sleep(13 * time.Second) // the owner is sure of what it knows of machines
	return s
}

// find is the machine of a role.
func (s *story) find(who role) int {
	owner := s.core.owner()
	switch who {
	case formerly:
		s.core.machines[owner].controller.Group().TransferLeadership()
		s.core.machines[owner].poke()
		time.Sleep(time.Second)
		if s.core.owner() == owner {
			s.t.Fatal("the owner has not changed")
		}
	case following:
		return s.core.others(owner)[0]
	case standing:
		return len(s.core.machines) - 1
	}
	return owner
}

// ways lists the ways that a cut blocks.
func (s *story) ways(victim int, how cutKind) []way {
	var ways []way
	others := s.core.others(victim)
	members := s.members(victim)
	switch how {
	case fromMajority:
		others = members
	case fromOne:
		others = members[:1]
		s.peer = members[0]
	case apart:
		for a := range s.core.machines {
			for _, b := range s.core.others(a) {
				ways = append(ways, way{a, b})
			}
		}
		return ways
	case standingStill:
		return nil
	}
	for _, other := range others {
		if how != inward {
			ways = append(ways, way{victim, other})
		}
		if how != outward {
			ways = append(ways, way{other, victim})
		}
	}
	return ways
}

// members lists the group's members but one, the owner first.
func (s *story) members(victim int) []int {
	owner := s.core.owner()
	members := []int{owner}
	for number := range s.core.kind.group {
		if number != owner {
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

func (s *story) begin(victim int, how cutKind) {
	s.began, s.owned = time.Now(), s.core.owner()
	base := s.read(victim)
	if how == standingStill {
		s.core.freeze(victim)
	}
	s.core.set(true, s.ways(victim, how)...)
	// An order comes in before the machine can know.
	s.active.Go(func() { s.replace(victim, base, s.random(victim, 5)) })
}

func (s *story) end(victim int, how cutKind) {
	s.ended = time.Now()
	if how == standingStill {
		s.core.thaw(victim)
	}
	var blocked []way
	s.core.mutex.Lock()
	for w, is := range s.core.blocked {
		if is {
			blocked = append(blocked, w)
		}
	}
	s.core.mutex.Unlock()
	s.core.set(false, blocked...)
}

// join adds a store.
func (c *core) join() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.joined = time.Now()
}

// operate starts the operators: at each machine one that replaces the configuration, one that asks for states, and one that
// goes from machine to machine with the other orders.
func (s *story) operate() {
	for _, m := range s.core.machines {
		s.active.Go(func() { s.configure(m.number) })
		s.active.Go(func() { s.ask(m.number) })
	}
	s.active.Go(s.rollOut)
	s.active.Go(s.retire)
}

func (s *story) isOver() bool {
	select {
	case <-s.over:
		return true
	default:
		return false
	}
}

func (s *story) close() {
	close(s.over)
	s.active.Wait()
	time.Sleep(time.Second) // what is under way at the machines ends too
}

// random are the choices of one operator.
func (s *story) random(machine int, operator uint64) *rand.Rand {
	const streams = 8
	return rand.New(rand.NewPCG(s.seed*streams+uint64(machine), operator))
}

// pause lets some time pass between two calls of an operator.
func pause(random *rand.Rand) {
	time.Sleep(time.Duration(random.Int64N(int64(mostCallPause))))
}

func (s *story) call(machine int, method, path, body string, order *sentOrder) *coreAnswer {
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
func (s *story) configure(machine int) {
	random := s.random(machine, 1)
	for ; !s.isOver(); pause(random) {
		s.replace(machine, s.read(machine), random)
	}
}

// read returns the number of the configuration that a machine tells; 0: it tells none.
func (s *story) read(machine int) uint64 {
	var told struct{ Number uint64 }
	if a := s.call(machine, http.MethodGet, settingsPath, "", nil); a.code == http.StatusOK {
		if err := json.Unmarshal([]byte(a.body), &told); err != nil {
			s.t.Error(err)
		}
	}
	return told.Number
}

// replace sends a configuration to a machine, and again unchanged to any of them while the answer isn't clear.
func (s *story) replace(machine int, base uint64, random *rand.Rand) {
	const sends = 4
	order := s.newOrder(base)
	for range sends {
		a := s.call(machine, http.MethodPut, settingsPath, document(int(order.number)), order)
		if a.code == http.StatusOK || a.code == http.StatusPreconditionFailed || a.code == http.StatusBadRequest {
			return
		}
		machine = random.IntN(len(s.core.machines))
		pause(random)
	}
}

func (s *story) newOrder(base uint64) *sentOrder {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.numbers++
	order := &sentOrder{base: base, number: max(s.numbers, base+1), at: time.Now()}
	s.numbers = order.number
	s.history.orders = append(s.history.orders, order)
	return order
}

// ask asks a machine for all states.
func (s *story) ask(machine int) {
	random := s.random(machine, 2)
	for ; !s.isOver(); pause(random) {
		for _, path := range []string{settingsPath, rolloutsPath + "/lm", retirePath + "storage-1", retirePath + joining} {
			s.call(machine, http.MethodGet, path, "", nil)
		}
	}
}

// rollOut orders one version after the other, each once the one before has ended.
func (s *story) rollOut() {
	random := s.random(0, 3)
	for version := uint64(1); !s.isOver(); version++ {
		order := &sentOrder{number: version, at: time.Now()}
		body := fmt.Sprintf(`{"service":"lm","target":%q,"overS":0.9}`, order.target())
		for !s.isOver() && s.call(random.IntN(len(s.core.machines)), http.MethodPost, rolloutsPath, body, order).code != http.StatusOK {
			pause(random)
		}
		for !s.isOver() {
			a := s.call(random.IntN(len(s.core.machines)), http.MethodGet, rolloutsPath+"/lm", "", nil)
			if a.code == http.StatusOK && !strings.Contains(a.body, "in_service") {
				break
			}
			pause(random)
		}
	}
}

// retire has machines emptied, and asks for it again and again.
func (s *story) retire() {
	random := s.random(0, 4)
	for ; !s.isOver(); pause(random) {
		s.core.mutex.Lock()
		joined := s.core.joined
		s.core.mutex.Unlock()
		nodes := map[string]time.Time{"storage-1": {}, "storage-2": {}}
		if !joined.IsZero() {
			nodes[joining] = joined.Add(time.Second)
		}
		for _, node := range []string{"storage-1", "storage-2", joining} {
			if known, ok := nodes[node]; ok {
				s.call(random.IntN(len(s.core.machines)), http.MethodPost, retirePath+node, `{"overS":10}`, &sentOrder{at: known})
			}
		}
	}
}

// check judges what the callers got.
func (s *story) check(victim int, how cutKind) {
	owner := s.core.machines[s.core.owner()].controller
	faults := s.history.judge(owner.state.configuration)
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
func (s *story) checkRedirects(victim int, how cutKind) {
	if how != fromAll && how != standingStill {
		return
	}
	// What came in before the cut is heard in the next turn, which may have to wait for the disk.
	slack := 4*coreLatency + 2*s.core.kind.slowDisk
	control := s.core.machines[victim].member.Control
	for _, a := range s.history.answers {
		for _, hop := range a.hops {
			known := s.began.Add(electionTimeout + slack)
			if hop.from >= s.core.kind.group {
				known = s.began.Add(noticedAfter + slack)
			}
			if hop.at.Before(known) || hop.at.After(s.ended) {
				continue
			}
			if strings.Contains(hop.to, control) || hop.from == victim && how == fromAll {
				s.t.Errorf("core-%d sends to %s %v after core-%d was cut off", hop.from+1, hop.to, hop.at.Sub(s.began), victim+1)
			}
		}
	}
}

// checkServes checks that those that aren't cut off tell the configuration during the cut, and all of them after it, and that
// orders are taken in both times.
func (s *story) checkServes(victim int, how cutKind) {
	during, after := s.served(s.began.Add(servesIn), s.ended), s.served(s.ended.Add(servesIn), time.Now())
	for _, m := range s.core.machines {
		if m.number != victim && how != apart && !s.isCutFromOwner(m.number, victim, how) && !during.told[m.number] {
			s.t.Errorf("core-%d told nothing while core-%d was cut off", m.number+1, victim+1)
		}
		if !after.told[m.number] && !s.wasTakenOut(m) {
			s.t.Errorf("core-%d told nothing after the cut", m.number+1)
		}
	}
	if how != apart && during.taken == 0 || after.taken == 0 {
		s.t.Errorf("%d orders were taken during the cut, %d after it", during.taken, after.taken)
	}
}

// checkAnswered checks that callers aren't left without an answer within their patience, except by a machine that is frozen.
func (s *story) checkAnswered(how cutKind) {
	for _, a := range s.history.answers {
		if a.code == 0 && how != standingStill {
			s.t.Errorf("%s %s at core-%d from %v: no answer", a.method, a.path, a.first+1, a.began.Sub(s.began))
		}
	}
}

// service is what was served in some time.
type service struct {
	told  map[int]bool // whether the configuration was told, by the machine that was called
	taken int          // configurations
}

func (s *story) served(from, to time.Time) service {
	served := service{told: map[int]bool{}}
	for _, a := range s.history.answers {
		switch {
		case a.path != settingsPath || a.code != http.StatusOK || a.began.Before(from) || a.ended.After(to):
		case a.method == http.MethodGet:
			served.told[a.first] = true
		default:
			served.taken++
		}
	}
	return served
}

// isCutFromOwner tells whether a member hears nothing of an owner that all others hear: it can't be elected, and answers 503.
func (s *story) isCutFromOwner(number, victim int, how cutKind) bool {
	return how == fromOne && s.owned == victim && number == s.peer
}

// wasTakenOut tells whether a machine was replaced in the group during the cut and can't know it: the group doesn't write to
// it any more. It answers 503, and callers go on to the next one.
func (s *story) wasTakenOut(m *coreMachine) bool {
	for _, member := range s.core.machines[s.core.owner()].controller.Group().Status().Members {
		if member.ID == m.member.ID {
			return false
		}
	}
	return true
}
