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
	histories = flag.Int("histories", 4, "number of random histories of orders to check")
	firstSeed = flag.Uint64("first-history", 1, "seed of the first random history")
)

// Parameters of a random history.
const (
	operatorCount    = 3
	ordersEach       = 12
	faultInterval    = 250 * time.Millisecond
	maxRunTime       = 90 * time.Second
	maxFinalAttempts = 100 // for each order, once all faults have ended
	paddedBytes      = 60 << 10
)

// recorder records the operations of all operators.
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

// earlierOrder returns an order that some operator has sent.
func (r *recorder) earlierOrder(pick func(int) int) linearizability.Order {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.sent[pick(len(r.sent))]
}

// editor is an operator that changes the configuration.
type editor struct {
	*operator
	recorder *recorder
	padding  string
	known    linearizability.Version
}

// put sends an order once and reports whether the response was conclusive.
func (e *editor) put(order linearizability.Order) bool {
	operation := linearizability.Operation{Operator: e.number, Kind: linearizability.Put, Order: order, Call: time.Now().UnixNano()}
	got := e.call(http.MethodPut, settingsPath, documentWithNote(order.Number, order.Content+e.padding), "If-Match", fmt.Sprint(order.Base))
	switch got.status {
	case http.StatusOK:
		operation.Outcome = linearizability.Accepted
	case http.StatusPreconditionFailed:
		operation.Outcome = linearizability.Conflict
	case http.StatusBadRequest:
		operation.Outcome = linearizability.StaleVersion
	case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
	default:
		e.cluster.t.Errorf("order %+v: unexpected status %d %s", order, got.status, got.body)
	}
	operation.Return = time.Now().UnixNano()
	e.recorder.add(operation)
	if operation.Outcome == linearizability.Accepted {
		e.known = linearizability.Version{Number: order.Number, Content: order.Content}
	}
	return operation.Outcome != linearizability.Unknown
}

// get requests the newest configuration once and reports whether it was returned.
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

// work sends orders on the newest, an older or a future version, and repeats some.
func (e *editor) work(orders int) {
	for range orders {
		if e.random.IntN(3) > 0 {
			e.retryUntilConclusive(2, e.get)
		}
		order := linearizability.Order{Base: e.known.Number, Number: e.known.Number + 1 + e.random.Uint64N(2), Content: fmt.Sprint(e.random.IntN(2))}
		if e.random.IntN(5) == 0 {
			order.Base++
			order.Number++
		}
		e.recorder.recordSent(order)
		e.retryUntilConclusive(maxAttempts, func() bool { return e.put(order) })
		if e.random.IntN(2) == 0 {
			e.put(e.recorder.earlierOrder(e.random.IntN))
		}
		e.sleep(time.Duration(e.random.IntN(400)) * time.Millisecond)
	}
}

// finish repeats every order until the response is conclusive, and then reads the configuration.
func (e *editor) finish(orders []linearizability.Order) {
	for _, order := range orders {
		if !e.retryUntilConclusive(maxFinalAttempts, func() bool { return e.put(order) }) {
			e.cluster.t.Errorf("order %+v has no conclusive response though all faults have ended", order)
		}
	}
	if !e.retryUntilConclusive(maxFinalAttempts, e.get) {
		e.cluster.t.Error("the configuration cannot be read though all faults have ended")
	}
}

// runHistory has operators change the configuration while machines have faults, and returns their operations.
func runHistory(t testing.TB, seed uint64) []linearizability.Operation {
	cluster := newFaultyCluster(t, seed, 0)
	cluster.responseLossRate = []float64{0, 0.1, 0.5}[cluster.random.IntN(3)]
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
	cluster.responseLossRate = 0
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

// untilDone advances virtual time until all operators have ended, and injects a fault at random intervals. each is called at each step.
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

// TestRandomOrderHistories_AreLinearizable has operators change the configuration concurrently while machines are partitioned, frozen,
// restarted and replaced, clocks are skewed and responses are lost.
func TestRandomOrderHistories_AreLinearizable(t *testing.T) {
	t.Parallel()
	var sum outcomeCounts
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

// outcomeCounts counts the operations of histories by outcome.
type outcomeCounts struct {
	Calls, Conclusive, Acknowledged, Rejected, Read int
	Orders                                          int // distinct accepted orders
}

func (s *outcomeCounts) add(operations []linearizability.Operation) {
	accepted := map[linearizability.Order]bool{}
	for i := range operations {
		s.Calls++
		switch operations[i].Outcome {
		case linearizability.Unknown:
			continue
		case linearizability.Accepted:
			accepted[operations[i].Order] = true
			s.Acknowledged++
		case linearizability.Conflict, linearizability.StaleVersion:
			s.Rejected++
		case linearizability.Read:
			s.Read++
		}
		s.Conclusive++
	}
	s.Orders += len(accepted)
}
