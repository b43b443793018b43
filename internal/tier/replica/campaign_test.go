package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	troubleTime  = 1200 * time.Millisecond
	recoveryTime = 5 * time.Second
	troubleEvery = 60 * time.Millisecond
	stormEvery   = 15 * time.Millisecond
	churnEvery   = 30 * time.Millisecond
	clientEvery  = 6 * time.Millisecond
)

// campaign is one random run: clients, troubles of all kinds, then calm.
type campaign struct {
	*simulation
	lastChange time.Duration
	churn      bool // the wanted group changes all the time, and members are told different ones
	storm      bool // owners come and go quickly, and each message carries a single entry
	keepIDs    bool // a fault outside the member: an empty disk comes back under the old identity
}

func newCampaign(seed uint64) *campaign {
	s := newSimulation(seed, 3, 2, conditions{})
	if seed%4 == 3 {
		s = newSimulation(seed, 5, 1, conditions{})
	}
	c := &campaign{simulation: s, churn: seed%3 == 2, storm: seed%8 >= 5}
	if seed%2 == 0 {
		c.limits = &limits{maxMessageBytes: 150, maxInflightBytes: 400, maxPendingBytes: 16 << 20, trailingEntries: 3, trailingBytes: 1 << 20, maxInflightChunks: 2}
	}
	if seed%7 == 3 {
		c.eager = testHeartbeat
	}
	if c.storm {
		c.conditions.loss = 0.4
		c.limits = &limits{maxMessageBytes: 1, maxInflightBytes: 1, maxPendingBytes: 16 << 20, trailingEntries: 3, trailingBytes: 1 << 20, maxInflightChunks: 1}
	}
	if seed%5 < 2 {
		for _, n := range c.nodes {
			n.rate = []float64{0.4, 0.7, 1, 1.4}[c.random.IntN(4)]
		}
	}
	c.conditions = conditions{
		loss:           []float64{0, 0.01, 0.1}[c.random.IntN(3)],
		duplicate:      []float64{0, 0.05}[c.random.IntN(2)],
		delay:          200 * time.Microsecond,
		jitter:         3 * time.Millisecond,
		straggler:      []float64{0, 0.02, 0.1}[c.random.IntN(3)],
		stragglerDelay: 120 * time.Millisecond,
		syncTime:       4 * time.Millisecond,
	}
	return c
}

// run plays the campaign and returns what was violated, if anything.
func (c *campaign) run() string {
	c.startAll()
	troubleTime := troubleTime
	if c.storm {
		troubleTime *= 2
		c.every(stormEvery, troubleTime, c.strikeOwner)
	} else {
		c.every(troubleEvery, troubleTime, c.trouble)
	}
	c.every(clientEvery, troubleTime, c.clients)
	if c.churn {
		c.every(churnEvery, troubleTime, c.tellWanted)
	}
	c.runFor(troubleTime)
	c.recoverAll()
	if !c.whenSettled(recoveryTime) {
		c.checker.fail("the group does not come back: %s", c.describe())
	}
	return c.checker.violation
}

func (c *campaign) every(period, until time.Duration, run func()) {
	c.after(period, func() {
		run()
		if c.now < until {
			c.every(period, until, run)
		}
	})
}

// tellWanted tells one member to want a random group.
func (c *campaign) tellWanted() {
	n := c.victim()
	if !n.alive {
		return
	}
	var wanted []Member
	for _, slot := range c.random.Perm(len(c.nodes))[:1+c.random.IntN(4)] {
		other := c.nodes[slot]
		wanted = append(wanted, Member{ID: other.id, Address: address(slot), Learner: c.random.IntN(5) == 0})
	}
	n.inbox.TargetMembers = wanted
	c.wake(n)
}

// clients hands proposals and reads to a member that believes itself the owner, at times to somebody else.
func (c *campaign) clients() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	if believers := c.believers(); len(believers) > 0 && c.random.IntN(5) > 0 {
		n = believers[c.random.IntN(len(believers))]
	}
	if !n.alive {
		return
	}
	for range c.random.IntN(4) {
		c.propose(n)
	}
	if c.random.IntN(2) == 0 {
		c.read(n)
	}
}

// believers are the members that believe themselves the owner.
func (c *campaign) believers() []*node {
	var believers []*node
	for _, n := range c.nodes {
		if n.alive && n.replica.role == leader {
			believers = append(believers, n)
		}
	}
	return believers
}

// trouble does one thing to the group.
func (c *campaign) trouble() {
	n := c.victim()
	switch c.random.IntN(18) {
	case 0, 1:
		c.kill(n)
		c.startLater(n)
	case 2, 3:
		c.killDuringSync(n)
	case 4:
		c.killAfterAcknowledgement()
	case 5:
		c.killAll()
	case 6:
		c.wipeIfBearable(n)
	case 7:
		c.freeze(n)
		c.after(c.pause(), func() { c.thaw(n) })
	case 8, 9:
		c.isolate(n)
		c.after(c.pause(), c.heal)
	case 10, 11:
		c.cutOneWay()
		c.after(c.pause(), c.heal)
	case 12:
		c.compactNode(n)
	case 13:
		c.replaceMember()
	case 14:
		for _, other := range c.nodes {
			c.compactNode(other)
		}
	case 15, 16:
		c.setRate(n, 0.1)
		c.isolate(n)
		c.after(c.pause(), func() {
			c.setRate(n, 1)
			c.heal()
		})
	case 17:
		n.inbox.TransferLeadership = n.alive
		c.wake(n)
	}
}

// strikeOwner takes the ownership away from whoever has it, and at times leaves it some company.
func (c *campaign) strikeOwner() {
	believers := c.believers()
	if len(believers) == 0 {
		return
	}
	n := believers[c.random.IntN(len(believers))]
	switch c.random.IntN(6) {
	case 0:
		c.kill(n)
		c.after(c.pause()/2, func() {
			if !n.alive {
				c.start(n)
			}
		})
	case 1:
		c.killDuringSync(n)
	case 2:
		c.isolate(n)
		c.after(c.pause(), c.heal)
	case 3:
		c.isolate(n)
		friend := c.nodes[c.random.IntN(len(c.nodes))]
		delete(c.cut, [2]int{n.slot, friend.slot})
		delete(c.cut, [2]int{friend.slot, n.slot})
		c.after(c.pause(), c.heal)
	case 4:
		n.inbox.TransferLeadership = true
		c.wake(n)
	}
}

// victim is the owner half of the time.
func (c *campaign) victim() *node {
	if n := c.owner(); n != nil && c.random.IntN(2) == 0 {
		return n
	}
	return c.nodes[c.random.IntN(len(c.nodes))]
}

func (c *campaign) pause() time.Duration {
	return time.Duration(c.random.Int64N(int64(3 * testElection)))
}

func (c *campaign) startLater(n *node) {
	life := n.life
	c.after(c.pause(), func() {
		if n.life == life && !n.alive {
			c.start(n)
		}
	})
}

// killDuringSync ends a process within one of its next syncs.
func (c *campaign) killDuringSync(n *node) {
	c.onSync = func(syncing *node) {
		if syncing != n || !n.alive {
			return
		}
		c.onSync = nil
		life := n.life
		c.after(time.Duration(c.random.Int64N(int64(c.conditions.syncTime))), func() {
			if n.life == life && n.busy {
				c.kill(n)
				c.startLater(n)
			}
		})
	}
}

// killAfterAcknowledgement ends the owner right after its next acknowledgement.
func (c *campaign) killAfterAcknowledgement() {
	c.onOutcome = func(n *node, outcome Outcome) {
		if outcome.Done {
			c.onOutcome = nil
			c.kill(n)
			c.startLater(n)
		}
	}
}

func (c *campaign) killAll() {
	for _, n := range c.nodes {
		c.kill(n)
		c.startLater(n)
	}
}

func (c *campaign) cutOneWay() {
	for range 1 + c.random.IntN(4) {
		c.cut[[2]int{c.random.IntN(len(c.nodes)), c.random.IntN(len(c.nodes))}] = true
	}
}

// wipeIfBearable empties a disk, unless an earlier loss or change is not made up for yet.
func (c *campaign) wipeIfBearable(n *node) {
	if c.keepIDs {
		c.kill(n)
		n.disk = Recovered{}
		c.startLater(n)
		return
	}
	if c.churn || !c.isSettled() || c.now-c.lastChange < 4*testElection || c.votersCommitted() < 3 {
		return
	}
	old := n.id
	c.wipe(n)
	c.startLater(n)
	c.change(old, Member{ID: n.id, Address: address(n.slot)})
}

// replaceMember puts a spare in place of a member, or takes one more in or out.
func (c *campaign) replaceMember() {
	if c.churn || !c.isSettled() || c.now-c.lastChange < 4*testElection {
		return
	}
	spare := c.nodes[c.random.IntN(len(c.nodes))]
	if slices.ContainsFunc(c.wanted, func(m Member) bool { return m.ID == spare.id }) {
		return
	}
	leaving := ""
	if c.random.IntN(4) > 0 {
		leaving = c.wanted[c.random.IntN(len(c.wanted))].ID
	}
	c.change(leaving, Member{ID: spare.id, Address: address(spare.slot)})
}

// change wants one member in place of another; an identity that is not wanted anyhow changes nothing.
func (c *campaign) change(leaving string, joining Member) {
	kept := slices.DeleteFunc(slices.Clone(c.wanted), func(m Member) bool { return m.ID == leaving })
	if leaving != "" && len(kept) == len(c.wanted) {
		return
	}
	c.lastChange = c.now
	c.setWanted(append(kept, joining))
}

// isSettled tells whether the committed group is the wanted one.
func (c *campaign) isSettled() bool {
	if len(c.checker.group) != len(c.wanted) {
		return false
	}
	for _, member := range c.wanted {
		if !slices.Contains(c.checker.group, member) {
			return false
		}
	}
	return true
}

func (c *campaign) votersCommitted() int {
	voters := 0
	for _, member := range c.checker.group {
		if !member.Learner {
			voters++
		}
	}
	return voters
}

// recoverAll ends all troubles.
func (c *campaign) recoverAll() {
	c.onOutcome, c.onSync = nil, nil
	c.conditions = calm
	c.heal()
	c.setWanted(c.wanted)
	for _, n := range c.nodes {
		c.setRate(n, 1)
		c.thaw(n)
		if !n.alive {
			c.start(n)
		}
	}
}

// whenSettled waits until the wanted group is in place, and a command and a read are served.
func (c *campaign) whenSettled(within time.Duration) bool {
	end := c.now + within
	if !c.runUntil(end, c.isSettled) || !c.whenDone(end-c.now) {
		return false
	}
	reads := c.checker.reads
	for c.now < end && c.checker.violation == "" {
		if n := c.owner(); n != nil {
			c.read(n)
		}
		if c.runUntil(c.now+testHeartbeat, func() bool { return c.checker.reads > reads }) {
			return true
		}
	}
	return false
}

func (c *campaign) describe() string {
	text := fmt.Sprintf("wanted %v, committed group %v", c.wanted, c.checker.group)
	for _, n := range c.nodes {
		if n.alive {
			status := n.replica.Status()
			text += fmt.Sprintf("\n%s role %d frozen %v busy %v: %+v", n.id, n.replica.role, n.frozen, n.busy, status)
		}
	}
	return text
}

func TestCampaigns(t *testing.T) {
	const workers = 4
	totals := make([][4]int, workers)
	t.Run("group", func(t *testing.T) {
		for worker := range workers {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(worker); seed < campaignSeeds; seed += workers {
					c := newCampaign(seed)
					if violation := c.run(); violation != "" {
						t.Fatalf("seed %d: %s", seed, violation)
					}
					counts := [4]int{c.checker.done, c.checker.reads, c.checker.groups, len(c.checker.owners)}
					for i := range counts {
						totals[worker][i] += counts[i]
					}
				}
			})
		}
	})
	var sum [4]int
	for _, counts := range totals {
		for i := range counts {
			sum[i] += counts[i]
		}
	}
	t.Logf("%d runs: %d commands, %d reads, %d lists of members, %d epochs", campaignSeeds, sum[0], sum[1], sum[2], sum[3])
	for i, name := range []string{"commands", "reads", "lists of members", "epochs"} {
		if sum[i] < campaignSeeds {
			t.Errorf("only %d %s in %d runs: the campaigns test too little", sum[i], name, campaignSeeds)
		}
	}
}
