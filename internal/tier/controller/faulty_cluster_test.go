package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/replica"
)

// Behavior of operators.
const (
	operatorTimeout = time.Second // without a response until an operator tries another controller
	maxRedirects    = 2
	maxAttempts     = 8
	minBackoff      = 20 * time.Millisecond
	maxBackoff      = 300 * time.Millisecond
	// callOffset keeps operators from calling during a step of the cluster.
	callOffset = 2 * time.Millisecond
)

// faultyCluster is a cluster of controllers with faults: blocked links, frozen machines and lost responses. It runs in a synctest
// bubble, whose time advances with the cluster's. Operators call the real handlers in goroutines of their own.
type faultyCluster struct {
	*cluster
	random           *rand.Rand
	blocked          map[[2]string]bool // links, as addresses of sender and receiver
	frozen           map[*testMachine]bool
	delayed          []inFlightMessage // messages to frozen machines
	responseLossRate float64
	wiped            bool
}

// newFaultyCluster starts three controllers and some stores, and waits for a leader.
func newFaultyCluster(t testing.TB, seed uint64, stores int) *faultyCluster {
	cluster := &faultyCluster{cluster: newCluster(t, stores), random: rand.New(rand.NewPCG(seed, 42)),
		blocked: map[[2]string]bool{}, frozen: map[*testMachine]bool{}}
	cluster.wait("a leader", 5*time.Second, func() bool { return cluster.leader() != nil })
	return cluster
}

// step advances virtual time by one step. Operators act only during the sleep and the waits.
func (c *faultyCluster) step() {
	c.afterStep()
	time.Sleep(clusterStep)
	synctest.Wait()
	c.nowMutex.Lock()
	c.now += clusterStep
	c.nowMutex.Unlock()
	c.runDueTimers()
	c.applyFaults()
	c.deliver()
	for _, m := range c.sorted() {
		if m.running && !c.frozen[m] {
			m.runGroups()
			synctest.Wait()
		}
	}
}

// afterStep orders an operator's accesses after the previous step for the race detector; virtual time orders them already.
func (c *faultyCluster) afterStep() {
	c.nowMutex.Lock()
	defer c.nowMutex.Unlock()
}

// applyFaults drops the messages on blocked links, and delays those to frozen machines.
func (c *faultyCluster) applyFaults() {
	waiting := append(c.delayed, c.inFlight...)
	c.delayed, c.inFlight = nil, nil
	for _, message := range waiting {
		from, to := c.addressOf(message.envelope.Message), message.address
		switch {
		case c.blocked[[2]string{from, to}]:
		case c.machines[to] != nil && c.frozen[c.machines[to]]:
			c.delayed = append(c.delayed, message)
		default:
			c.inFlight = append(c.inFlight, message)
		}
	}
}

// addressOf returns the address of a message's sender.
func (c *faultyCluster) addressOf(message replica.Message) string {
	for address, m := range c.machines {
		if m.member.ID == message.From {
			return address
		}
	}
	return ""
}

// wait advances virtual time until the condition holds.
func (c *faultyCluster) wait(what string, limit time.Duration, condition func() bool) {
	c.t.Helper()
	for end := c.now + limit; !condition(); c.step() {
		if c.now > end {
			c.t.Fatalf("%s: not reached within %v", what, limit)
		}
	}
}

// partition blocks the links between a machine and all others: those from it, those to it, or both.
func (c *faultyCluster) partition(m *testMachine, from, to bool) {
	for _, other := range c.sorted() {
		c.blocked[[2]string{m.member.Address, other.member.Address}] = from && other != m
		c.blocked[[2]string{other.member.Address, m.member.Address}] = to && other != m
	}
}

// heal ends all faults, and starts the machines that don't run.
func (c *faultyCluster) heal() {
	clear(c.blocked)
	clear(c.frozen)
	for _, m := range c.sorted() {
		m.skew = 0
		if !m.running {
			m.start()
		}
	}
}

// isComplete reports whether all controllers are members of the configuration shard and have caught up.
func (c *faultyCluster) isComplete() bool {
	leader := c.leader()
	if leader == nil || c.frozen[leader] {
		return false
	}
	status := leader.controller.Group().Status()
	return len(status.Members) == len(c.controllers()) && len(caughtUp(status)) == len(status.Members)
}

// controllers lists the machines of controllers.
func (c *faultyCluster) controllers() []*testMachine {
	return slices.DeleteFunc(c.sorted(), func(m *testMachine) bool { return m.member.Role != membership.Controller })
}

// injectRandomFault injects a random fault into a machine, often the leader. A disk is lost once at most, and only while the group is
// complete and has no other faults.
func (c *faultyCluster) injectRandomFault() {
	machines := c.controllers()
	target := machines[c.random.IntN(len(machines))]
	if leader := c.leader(); leader != nil && c.random.IntN(2) == 0 {
		target = leader
	}
	switch c.random.IntN(9) {
	case 0:
		c.partition(target, true, true)
	case 1:
		c.partition(target, c.random.IntN(2) == 0, c.random.IntN(2) == 0)
	case 2:
		clear(c.blocked)
	case 3:
		c.frozen[target] = !c.frozen[target]
	case 4:
		target.skew = time.Duration(c.random.IntN(5)-2) * time.Second
	case 5:
		c.restart(target, false)
	case 6:
		c.restart(target, true)
	case 7:
		if c.random.IntN(4) == 0 {
			for _, each := range machines {
				c.restart(each, true)
			}
		}
	case 8:
		if c.isComplete() && !c.wiped && len(c.frozen)+len(c.blocked) == 0 {
			c.wiped = true
			target.wipe()
		}
	}
}

// restart kills a machine's process, with a loss of power or without, and starts it again within 0.7 s.
func (c *faultyCluster) restart(m *testMachine, losesPower bool) {
	if !m.running {
		return
	}
	delete(c.frozen, m)
	m.kill()
	if losesPower {
		m.disk.LosePower(c.random.Uint64())
	}
	c.after(time.Duration(c.random.IntN(700))*time.Millisecond, func() {
		if !m.running {
			m.start()
		}
	})
}

// operator calls the API of controllers as real operators do.
type operator struct {
	cluster *faultyCluster
	number  int
	random  *rand.Rand
}

func (c *faultyCluster) operator(number int) *operator {
	return &operator{cluster: c, number: number, random: rand.New(rand.NewPCG(c.random.Uint64(), uint64(number)))}
}

// sleep waits for d, and then until a time between two steps of the cluster.
func (o *operator) sleep(d time.Duration) {
	now := time.Now().Add(d)
	offset := callOffset + time.Duration(o.number)*time.Microsecond
	time.Sleep(time.Until(now.Truncate(clusterStep).Add(clusterStep + offset)))
	o.cluster.afterStep()
}

// reply is the final response to an operator's call; status 0: none.
type reply struct {
	status int
	body   string
}

// call sends a request to a random controller, and follows redirects.
func (o *operator) call(method, path, body string, headers ...string) reply {
	machines := o.cluster.controllers()
	return o.callOne(machines[o.random.IntN(len(machines))], method, path, body, headers...)
}

// callOne sends a request to a controller, and follows redirects.
func (o *operator) callOne(m *testMachine, method, path, body string, headers ...string) reply {
	for range maxRedirects + 1 {
		recorder := o.exchange(m, method, path, body, headers...)
		if recorder == nil {
			return reply{}
		}
		if recorder.Code != http.StatusTemporaryRedirect {
			return reply{recorder.Code, recorder.Body.String()}
		}
		if m = o.cluster.machineAt(recorder.Header().Get("Location")); m == nil {
			return reply{}
		}
		o.sleep(0)
	}
	return reply{}
}

// machineAt returns the machine at the location of a redirect.
func (c *faultyCluster) machineAt(location string) *testMachine {
	for _, m := range c.controllers() {
		if strings.HasPrefix(location, "http://"+m.member.Control+"/") {
			return m
		}
	}
	return nil
}

// exchange sends one request to a machine. It returns nil if there is no response.
func (o *operator) exchange(machine *testMachine, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	defer o.sleep(0)
	for o.cluster.frozen[machine] { // the request waits in the machine's buffers
		if o.sleep(0); ctx.Err() != nil {
			return nil
		}
	}
	if !machine.running {
		return nil
	}
	generation := machine.starts
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	handler := machine.controller.Handler()
	go func() {
		defer close(done)
		handler.ServeHTTP(recorder, request)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return nil
	}
	o.cluster.afterStep()
	for o.cluster.frozen[machine] && ctx.Err() == nil {
		o.sleep(0)
	}
	isLost := o.random.Float64() < o.cluster.responseLossRate
	if isLost || ctx.Err() != nil || machine.starts != generation || !machine.running {
		return nil
	}
	return recorder
}

// retryUntilConclusive calls attempt until it reports a conclusive response, or the attempts are used up. It reports which.
func (o *operator) retryUntilConclusive(attempts int, attempt func() (isConclusive bool)) bool {
	backoff := minBackoff
	for range attempts {
		if attempt() {
			return true
		}
		o.sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return false
}

// runInVirtualTime runs a test in virtual time and waits for its remaining goroutines.
func runInVirtualTime(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(t)
			time.Sleep(2 * proposeTimeout)
		})
	})
}

// documentWithNote returns a configuration that differs from others by its note.
func documentWithNote(number uint64, note string) string {
	return strings.Replace(document(int(number)), `{"number"`, fmt.Sprintf(`{"note": %q, "number"`, note), 1)
}
