package controller

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mastusher/internal/tier/linearizability"
)

var (
	histories = flag.Int("histories", 4, "number of random histories of orders that are checked")
	firstSeed = flag.Uint64("first-history", 1, "seed of the first of them")
)

// What a campaign does.
const (
	operatorCount    = 3
	ordersEach       = 12
	faultInterval    = 250 * time.Millisecond
	maxRunTime       = 90 * time.Second
	maxFinalAttempts = 100 // attempts, once all faults have ended
	paddedBytes      = 60 << 10
)

// recorder keeps what operators have seen.
type recorder struct {
	mutex      sync.Mutex
	operations []linearizability.Operation
	sent       []linearizability.Order
}

func (r *recorder) add(operation linearizability.Operation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.operations = append(r.operations, operation)
}

func (r *recorder) recordSent(order linearizability.Order) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent = append(r.sent, order)
}

// earlierOrder is an order that was sent before, by anyone.
func (r *recorder) earlierOrder(pick func(int) int) linearizability.Order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.sent[pick(len(r.sent))]
}

// editor is an operator who changes the configuration.
type editor struct {
	*operator
	recorder *recorder
	padding  string
	known    linearizability.Version
}

// put sends an order once and tells whether the answer was a clear one.
func (e *editor) put(order linearizability.Order) bool {
	operation := linearizability.Operation{Operator: e.number, Kind: linearizability.Put, Order: order, Call: time.Now().UnixNano()}
	got := e.call(http.MethodPut, settingsPath, orderNamed(order.Number, order.Content+e.padding), "If-Match", fmt.Sprint(order.Base))
	switch got.status {
	case http.StatusOK:
		operation.Outcome = linearizability.Accepted
	case http.StatusPreconditionFailed:
		operation.Outcome = linearizability.Conflict
	case http.StatusBadRequest:
		operation.Outcome = linearizability.StaleVersion
	case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	default:
		e.cluster.t.Errorf("order %+v: answer %d %s", order, got.status, got.body)
	}
	operation.Return = time.Now().UnixNano()
	e.recorder.add(operation)
	if operation.Outcome == linearizability.Accepted {
		e.known = linearizability.Version{Number: order.Number, Content: order.Content}
	}
	return operation.Outcome != linearizability.Unknown
}

// get asks for the newest configuration once and tells whether it came.
func (e *editor) get() bool {
	operation := linearizability.Operation{Operator: e.number, Kind: linearizability.Get, Call: time.Now().UnixNano()}
	got := e.call(http.MethodGet, settingsPath, "")
	if got.status == http.StatusOK {
		var parsed struct {
			Number uint64 `json:"number"`
			Note   string `json:"note"`
		}
		if err := json.Unmarshal([]byte(got.body), &parsed); err != nil {
			e.cluster.t.Error(err)
		}
		operation.Outcome = linearizability.Read
		operation.Version = linearizability.Version{Number: parsed.Number, Content: strings.TrimSuffix(parsed.Note, e.padding)}
		e.known = operation.Version
	}
	operation.Return = time.Now().UnixNano()
	e.recorder.add(operation)
	return operation.Outcome != linearizability.Unknown
}

// work sends orders, on the newest version or an older one, and repeats some.
func (e *editor) work(orders int) {
	for range orders {
		if e.random.IntN(3) > 0 {
			e.retryUntilClear(2, e.get)
		}
		order := linearizability.Order{Base: e.known.Number, Number: e.known.Number + 1 + e.random.Uint64N(2), Content: fmt.Sprint(e.random.IntN(2))}
		if e.random.IntN(5) == 0 {
			order.Base++
			order.Number++
		}
		e.recorder.recordSent(order)
		e.retryUntilClear(maxAttempts, func() bool { return e.put(order) })
		if e.random.IntN(2) == 0 {
			e.put(e.recorder.earlierOrder(e.random.IntN))
		}
		e.sleep(time.Duration(e.random.IntN(400)) * time.Millisecond)
	}
}

// finish has every order answered clearly once more, and reads back.
func (e *editor) finish(orders []linearizability.Order) {
	for _, order := range orders {
		if !e.retryUntilClear(maxFinalAttempts, func() bool { return e.put(order) }) {
			e.cluster.t.Errorf("order %+v has no clear answer though all faults have ended", order)
		}
	}
	if !e.retryUntilClear(maxFinalAttempts, e.get) {
		e.cluster.t.Error("the configuration is not read back though all faults have ended")
	}
}

// runHistory lets operators work while machines have faults, and returns what they saw.
func runHistory(t testing.TB, seed uint64) []linearizability.Operation {
	cluster := newFaultyCluster(t, seed, 0)
	cluster.answerLossRate = []float64{0, 0.1, 0.5}[cluster.random.IntN(3)]
	padding := strings.Repeat(" ", []int{0, 0, 0, 0, 0, paddedBytes}[cluster.random.IntN(6)])
	seen := &recorder{}
	var editors []*editor
	var working sync.WaitGroup
	for number := range operatorCount {
		e := &editor{operator: cluster.operator(number), recorder: seen, padding: padding}
		editors = append(editors, e)
		working.Add(1)
		go func() {
			defer working.Done()
			e.sleep(0)
			e.work(ordersEach)
		}()
	}
	cluster.untilDone(&working, func() { cluster.injectRandomFault() }, func() {})
	cluster.heal()
	cluster.answerLossRate = 0
	cluster.wait("the group is complete", 30*time.Second, cluster.isComplete)
	working.Add(1)
	go func() {
		defer working.Done()
		editors[0].sleep(0)
		editors[0].finish(seen.sent)
	}()
	cluster.untilDone(&working, func() {}, func() {})
	return seen.operations
}

// untilDone lets time pass until all have ended, with some faults now and then; each is called after each step.
func (c *faultyCluster) untilDone(working *sync.WaitGroup, injectFault, each func()) {
	c.t.Helper()
	done := make(chan struct{})
	go func() {
		working.Wait()
		close(done)
	}()
	isDone := func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
	next := c.now + faultInterval
	c.wait("operators end", maxRunTime, func() bool {
		each()
		if c.now >= next {
			next = c.now + time.Duration(c.random.Int64N(int64(2*faultInterval)))
			injectFault()
		}
		return isDone()
	})
}

// TestRandomOrderHistories_AreLinearizable has operators change the configuration at once while machines are partitioned, frozen, restarted
// and replaced, clocks go wrong and answers are lost.
func TestRandomOrderHistories_AreLinearizable(t *testing.T) {
	t.Parallel()
	var sum tally
	for seed := *firstSeed; seed < *firstSeed+uint64(*histories); seed++ {
		runInVirtualTime(t, fmt.Sprint("seed ", seed), func(t *testing.T) {
			operations := runHistory(t, seed)
			if err := linearizability.Check(operations); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			sum.add(operations)
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d histories: %+v", *histories, sum)
}

// tally counts what histories hold.
type tally struct {
	Calls, Clear, Confirmed, Refused, Read int
	Orders                                 int // different ones that were confirmed
}

func (s *tally) add(operations []linearizability.Operation) {
	taken := map[linearizability.Order]bool{}
	for i := range operations {
		s.Calls++
		switch operations[i].Outcome {
		case linearizability.Unknown:
			continue
		case linearizability.Accepted:
			taken[operations[i].Order] = true
			s.Confirmed++
		case linearizability.Conflict, linearizability.StaleVersion:
			s.Refused++
		case linearizability.Read:
			s.Read++
		}
		s.Clear++
	}
	s.Orders += len(taken)
}
