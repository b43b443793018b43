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

// What operators do.
const (
	operatorTimeout = time.Second // without an answer until an operator goes to another controller
	maxRedirects    = 2
	maxAttempts     = 8
	minBackoff      = 20 * time.Millisecond
	maxBackoff      = 300 * time.Millisecond
	// callOffset keeps the calls of operators from coming in the middle of a step of the cluster.
	callOffset = 2 * time.Millisecond
)

// faultyCluster is a cluster of controllers whose links are blocked, machines frozen and answers lost, within a bubble of
// synctest: operators call the real handlers in goroutines of their own while its time passes with the cluster's.
type faultyCluster struct {
	*cluster
	random         *rand.Rand
	blocked        map[[2]string]bool // from one address to another
	frozen         map[*testMachine]bool
	delayed        []inFlightMessage // to frozen machines
	answerLossRate float64
	wiped          bool
}

// newFaultyCluster starts three controllers and some stores.
func newFaultyCluster(t testing.TB, seed uint64, stores int) *faultyCluster {
	cluster := &faultyCluster{cluster: newCluster(t, stores), random: rand.New(rand.NewPCG(seed, 42)),
		blocked: map[[2]string]bool{}, frozen: map[*testMachine]bool{}}
	cluster.wait("a leader", 5*time.Second, func() bool { return cluster.leader() != nil })
	return cluster
}

// step lets a step of virtual time pass; all that operators do happens within the sleep, or while it waits.
func (c *faultyCluster) step() {
	c.afterStep()
	time.Sleep(clusterStep)
	synctest.Wait()
	c.nowMutex.Lock()
	c.now += clusterStep
	c.nowMutex.Unlock()
	c.doDue()
	c.applyFaults()
	c.deliver()
	for _, m := range c.sorted() {
		if m.running && !c.frozen[m] {
			m.runGroups()
			synctest.Wait()
		}
	}
}

// afterStep orders what an operator does after the step that has ended, which holds by time, for the race detector too.
func (c *faultyCluster) afterStep() {
	c.nowMutex.Lock()
	defer c.nowMutex.Unlock()
}

// applyFaults takes out of the queue what doesn't arrive, or not yet.
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

// addressOf is where a message comes from.
func (c *faultyCluster) addressOf(message replica.Message) string {
	for address, m := range c.machines {
		if m.member.ID == message.From {
			return address
		}
	}
	return ""
}

// wait lets time pass until the condition holds.
func (c *faultyCluster) wait(what string, limit time.Duration, condition func() bool) {
	c.t.Helper()
	for end := c.now + limit; !condition(); c.step() {
		if c.now > end {
			c.t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// partition isolates a machine from the others: from it, to it, or both.
func (c *faultyCluster) partition(m *testMachine, from, to bool) {
	for _, other := range c.sorted() {
		c.blocked[[2]string{m.member.Address, other.member.Address}] = from && other != m
		c.blocked[[2]string{other.member.Address, m.member.Address}] = to && other != m
	}
}

// heal ends all faults.
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

// isComplete tells whether the configuration shard has all machines as members that have caught up.
func (c *faultyCluster) isComplete() bool {
	leader := c.leader()
	if leader == nil || c.frozen[leader] {
		return false
	}
	status := leader.controller.Group().Status()
	return len(status.Members) == len(c.controllers()) && len(caughtUp(status)) == len(status.Members)
}

// controllers lists the machines that the operators reach.
func (c *faultyCluster) controllers() []*testMachine {
	return slices.DeleteFunc(c.sorted(), func(m *testMachine) bool { return m.member.Role != membership.Controller })
}

// injectRandomFault lets something happen by chance to a machine, often the leader. A disk is lost once at most, and only while all others
// have theirs.
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

// restart ends a machine's process, with its power or not, and starts it some time later.
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

// operator calls controllers as the operators do.
type operator struct {
	cluster *faultyCluster
	number  int
	random  *rand.Rand
}

func (c *faultyCluster) operator(number int) *operator {
	return &operator{cluster: c, number: number, random: rand.New(rand.NewPCG(c.random.Uint64(), uint64(number)))}
}

// sleep waits until a time at which the cluster rests too.
func (o *operator) sleep(d time.Duration) {
	now := time.Now().Add(d)
	offset := callOffset + time.Duration(o.number)*time.Microsecond
	time.Sleep(time.Until(now.Truncate(clusterStep).Add(clusterStep + offset)))
	o.cluster.afterStep()
}

// reply is what an operator got; status 0 stands for none.
type reply struct {
	status int
	body   string
}

// call asks a controller drawn by lot, and follows redirects.
func (o *operator) call(method, path, body string, headers ...string) reply {
	machines := o.cluster.controllers()
	return o.callOne(machines[o.random.IntN(len(machines))], method, path, body, headers...)
}

// callOne asks a controller, and follows redirects.
func (o *operator) callOne(m *testMachine, method, path, body string, headers ...string) reply {
	for range maxRedirects + 1 {
		recorder := o.exchange(m, method, path, body, headers...)
		if recorder == nil {
			return reply{}
		}
		if recorder.Code != http.StatusTemporaryRedirect {
			return reply{recorder.Code, recorder.Body.String()}
		}
		if m = o.cluster.at(recorder.Header().Get("Location")); m == nil {
			return reply{}
		}
		o.sleep(0)
	}
	return reply{}
}

// at is the machine that a redirect names.
func (c *faultyCluster) at(location string) *testMachine {
	for _, m := range c.controllers() {
		if strings.HasPrefix(location, "http://"+m.member.Control+"/") {
			return m
		}
	}
	return nil
}

// exchange sends one request to a machine. It returns nil if no answer comes.
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
	isLost := o.random.Float64() < o.cluster.answerLossRate
	if isLost || ctx.Err() != nil || machine.starts != generation || !machine.running {
		return nil
	}
	return recorder
}

// retryUntilClear calls until the answer is a clear one, or its attempts are used up.
func (o *operator) retryUntilClear(attempts int, attempt func() (isClear bool)) bool {
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

// runInVirtualTime runs a test in virtual time and waits for the goroutines that are left.
func runInVirtualTime(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(t)
			time.Sleep(2 * proposeTimeout)
		})
	})
}

// orderNamed is a configuration whose content has a name.
func orderNamed(number uint64, content string) string {
	return strings.Replace(document(int(number)), `{"number"`, fmt.Sprintf(`{"note": %q, "number"`, content), 1)
}
