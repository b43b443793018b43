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
	operatorPatience = time.Second // without an answer until an operator goes to another controller
	mostRedirects    = 2
	mostAttempts     = 8
	shortestPause    = 20 * time.Millisecond
	longestPause     = 300 * time.Millisecond
	// callOffset keeps the calls of operators from coming in the middle of a step of the cluster.
	callOffset = 2 * time.Millisecond
)

// troubledCluster is a cluster of controllers whose links are cut, machines frozen and answers lost, within a bubble of
// synctest: operators call the real handlers in goroutines of their own while its time passes with the cluster's.
type troubledCluster struct {
	*cluster
	random   *rand.Rand
	cuts     map[[2]string]bool // from one address to another
	frozen   map[*machineUnderTest]bool
	held     []sent // to frozen machines
	lostPart float64
	wiped    bool
}

// newTroubledCluster starts three controllers and some stores.
func newTroubledCluster(t testing.TB, seed uint64, stores int) *troubledCluster {
	c := &troubledCluster{cluster: newCluster(t, stores), random: rand.New(rand.NewPCG(seed, 42)),
		cuts: map[[2]string]bool{}, frozen: map[*machineUnderTest]bool{}}
	c.wait("an owner", 5*time.Second, func() bool { return c.owner() != nil })
	return c
}

// step lets a step of virtual time pass; all that operators do happens within the sleep, or while it waits.
func (c *troubledCluster) step() {
	c.pastGate()
	time.Sleep(clusterStep)
	synctest.Wait()
	c.gate.Lock()
	c.now += clusterStep
	c.gate.Unlock()
	c.doDue()
	c.trouble()
	c.deliver()
	for _, m := range c.sorted() {
		if m.running && !c.frozen[m] {
			m.turn()
			synctest.Wait()
		}
	}
}

// pastGate orders what an operator does after the step that has ended, which holds by time, for the race detector too.
func (c *troubledCluster) pastGate() {
	c.gate.Lock()
	defer c.gate.Unlock()
}

// trouble takes out of the queue what doesn't arrive, or not yet.
func (c *troubledCluster) trouble() {
	waiting := append(c.held, c.queue...)
	c.held, c.queue = nil, nil
	for _, message := range waiting {
		from, to := c.addressOf(message.envelope.Message), message.address
		switch {
		case c.cuts[[2]string{from, to}]:
		case c.machines[to] != nil && c.frozen[c.machines[to]]:
			c.held = append(c.held, message)
		default:
			c.queue = append(c.queue, message)
		}
	}
}

// addressOf is where a message comes from.
func (c *troubledCluster) addressOf(message replica.Message) string {
	for address, m := range c.machines {
		if m.member.ID == message.From {
			return address
		}
	}
	return ""
}

// wait lets time pass until the condition holds.
func (c *troubledCluster) wait(what string, most time.Duration, holds func() bool) {
	c.t.Helper()
	for end := c.now + most; !holds(); c.step() {
		if c.now > end {
			c.t.Fatalf("%s: not within %v", what, most)
		}
	}
}

// cutOff cuts a machine off from the others: from it, to it, or both.
func (c *troubledCluster) cutOff(m *machineUnderTest, from, to bool) {
	for _, other := range c.sorted() {
		c.cuts[[2]string{m.member.Address, other.member.Address}] = from && other != m
		c.cuts[[2]string{other.member.Address, m.member.Address}] = to && other != m
	}
}

// heal ends all trouble.
func (c *troubledCluster) heal() {
	clear(c.cuts)
	clear(c.frozen)
	for _, m := range c.sorted() {
		m.skew = 0
		if !m.running {
			m.start()
		}
	}
}

// isWhole tells whether the configuration shard has all machines as members that have caught up.
func (c *troubledCluster) isWhole() bool {
	owner := c.owner()
	if owner == nil || c.frozen[owner] {
		return false
	}
	status := owner.controller.Group().Status()
	return len(status.Members) == len(c.controllers()) && len(caughtUp(status)) == len(status.Members)
}

// controllers lists the machines that the operators reach.
func (c *troubledCluster) controllers() []*machineUnderTest {
	return slices.DeleteFunc(c.sorted(), func(m *machineUnderTest) bool { return m.member.Role != membership.Controller })
}

// disturb lets something happen by chance to a machine, often the owner. A disk is lost once at most, and only while all others
// have theirs.
func (c *troubledCluster) disturb() {
	machines := c.controllers()
	m := machines[c.random.IntN(len(machines))]
	if owner := c.owner(); owner != nil && c.random.IntN(2) == 0 {
		m = owner
	}
	switch c.random.IntN(9) {
	case 0:
		c.cutOff(m, true, true)
	case 1:
		c.cutOff(m, c.random.IntN(2) == 0, c.random.IntN(2) == 0)
	case 2:
		clear(c.cuts)
	case 3:
		c.frozen[m] = !c.frozen[m]
	case 4:
		m.skew = time.Duration(c.random.IntN(5)-2) * time.Second
	case 5:
		c.restart(m, false)
	case 6:
		c.restart(m, true)
	case 7:
		if c.random.IntN(4) == 0 {
			for _, each := range machines {
				c.restart(each, true)
			}
		}
	case 8:
		if c.isWhole() && !c.wiped && len(c.frozen)+len(c.cuts) == 0 {
			c.wiped = true
			m.wipe()
		}
	}
}

// restart ends a machine's process, with its power or not, and starts it some time later.
func (c *troubledCluster) restart(m *machineUnderTest, losesPower bool) {
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
	cluster *troubledCluster
	number  int
	random  *rand.Rand
}

func (c *troubledCluster) operator(number int) *operator {
	return &operator{cluster: c, number: number, random: rand.New(rand.NewPCG(c.random.Uint64(), uint64(number)))}
}

// rest waits until a time at which the cluster rests too.
func (o *operator) rest(d time.Duration) {
	now := time.Now().Add(d)
	offset := callOffset + time.Duration(o.number)*time.Microsecond
	time.Sleep(time.Until(now.Truncate(clusterStep).Add(clusterStep + offset)))
	o.cluster.pastGate()
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
func (o *operator) callOne(m *machineUnderTest, method, path, body string, headers ...string) reply {
	for range mostRedirects + 1 {
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
		o.rest(0)
	}
	return reply{}
}

// at is the machine that a redirect names.
func (c *troubledCluster) at(location string) *machineUnderTest {
	for _, m := range c.controllers() {
		if strings.HasPrefix(location, "http://"+m.member.Control+"/") {
			return m
		}
	}
	return nil
}

// exchange sends one request to a machine. It returns nil if no answer comes.
func (o *operator) exchange(m *machineUnderTest, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
	defer cancel()
	defer o.rest(0)
	for o.cluster.frozen[m] { // the request waits in the machine's buffers
		if o.rest(0); ctx.Err() != nil {
			return nil
		}
	}
	if !m.running {
		return nil
	}
	generation := m.starts
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	handler := m.controller.Handler()
	go func() {
		defer close(done)
		handler.ServeHTTP(recorder, request)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return nil
	}
	o.cluster.pastGate()
	for o.cluster.frozen[m] && ctx.Err() == nil {
		o.rest(0)
	}
	isLost := o.random.Float64() < o.cluster.lostPart
	if isLost || ctx.Err() != nil || m.starts != generation || !m.running {
		return nil
	}
	return recorder
}

// persist calls until the answer is a clear one, or patience ends.
func (o *operator) persist(attempts int, try func() (clear bool)) bool {
	pause := shortestPause
	for range attempts {
		if try() {
			return true
		}
		o.rest(pause)
		pause = min(2*pause, longestPause)
	}
	return false
}

// inBubble runs a test in virtual time and waits for the goroutines that are left.
func inBubble(t *testing.T, name string, test func(t *testing.T)) {
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
