package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	faultDuration       = 1200 * time.Millisecond
	recoveryTimeout     = 5 * time.Second
	faultInterval       = 60 * time.Millisecond
	leaderFaultInterval = 15 * time.Millisecond
	churnInterval       = 30 * time.Millisecond
	clientInterval      = 6 * time.Millisecond
)

// campaign is one random test run, not an election campaign: clients send requests while faults occur; then all faults end
// and the group must recover.
type campaign struct {
	*simulation
	lastChange   time.Duration
	churn        bool // the target members change all the time, and differ between members
	leaderFaults bool // only leaders are disturbed, so that they change quickly, and each message carries a single entry
	keepIDs      bool // wiped nodes keep their identity, which the protocol does not allow; the checker must detect it
}

func newCampaign(seed uint64) *campaign {
	sim := newSimulation(seed, 3, 2, conditions{})
	if seed%4 == 3 {
		sim = newSimulation(seed, 5, 1, conditions{})
	}
	c := &campaign{simulation: sim, churn: seed%3 == 2, leaderFaults: seed%8 >= 5}
	if seed%2 == 0 {
		c.limits = &limits{maxMessageBytes: 150, maxInflightBytes: 400, maxPendingBytes: 16 << 20, trailingEntries: 3, trailingBytes: 1 << 20, minInflightChunks: 2, maxInflightChunks: 4}
	}
	if seed%7 == 3 {
		c.initialElectionTimeout = testHeartbeat
	}
	if c.leaderFaults {
		c.conditions.loss = 0.4
		c.limits = &limits{maxMessageBytes: 1, maxInflightBytes: 1, maxPendingBytes: 16 << 20, trailingEntries: 3, trailingBytes: 1 << 20, minInflightChunks: 1, maxInflightChunks: 1}
	}
	if seed%5 < 2 {
		for _, n := range c.nodes {
			n.clockRate = []float64{0.4, 0.7, 1, 1.4}[c.random.IntN(4)]
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

// run plays the campaign and returns a description of the first violation, or an empty string.
func (c *campaign) run() string {
	c.startAll()
	duration := faultDuration
	if c.leaderFaults {
		duration *= 2
		c.every(leaderFaultInterval, duration, c.injectLeaderFault)
	} else {
		c.every(faultInterval, duration, c.injectFault)
	}
	c.every(clientInterval, duration, c.issueRequests)
	if c.churn {
		c.every(churnInterval, duration, c.setRandomTarget)
	}
	c.runFor(duration)
	c.endFaults()
	if !c.convergesWithin(recoveryTimeout) {
		c.checker.fail("the group does not reach its target members and serve requests after the faults have ended: %s", c.describe())
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

// setRandomTarget gives one member random target members.
func (c *campaign) setRandomTarget() {
	n := c.pickNode()
	if !n.alive {
		return
	}
	var target []Member
	for _, slot := range c.random.Perm(len(c.nodes))[:1+c.random.IntN(4)] {
		other := c.nodes[slot]
		target = append(target, Member{ID: other.id, Address: address(slot), Learner: c.random.IntN(5) == 0})
	}
	n.inbox.TargetMembers = target
	c.wake(n)
}

// issueRequests sends proposals and reads to a member that considers itself the leader, sometimes to a random one.
func (c *campaign) issueRequests() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	if claimed := c.claimedLeaders(); len(claimed) > 0 && c.random.IntN(5) > 0 {
		n = claimed[c.random.IntN(len(claimed))]
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

// claimedLeaders returns the nodes whose member considers itself the leader.
func (c *campaign) claimedLeaders() []*node {
	var claimed []*node
	for _, n := range c.nodes {
		if n.alive && n.replica.role == leader {
			claimed = append(claimed, n)
		}
	}
	return claimed
}

// isAtTarget reports whether the committed members are the target members.
func (c *campaign) isAtTarget() bool {
	if len(c.checker.members) != len(c.targetMembers) {
		return false
	}
	for _, member := range c.targetMembers {
		if !slices.Contains(c.checker.members, member) {
			return false
		}
	}
	return true
}

func (c *campaign) committedVoters() int {
	voters := 0
	for _, member := range c.checker.members {
		if !member.Learner {
			voters++
		}
	}
	return voters
}

// endFaults ends all faults: it heals the network, resumes frozen processes and starts those that are not running.
func (c *campaign) endFaults() {
	c.onOutcome, c.onSync = nil, nil
	c.conditions = noFaults
	c.heal()
	c.setTargetMembers(c.targetMembers)
	for _, n := range c.nodes {
		c.setClockRate(n, 1)
		c.thaw(n)
		if !n.alive {
			c.start(n)
		}
	}
}

// convergesWithin waits until the target members are committed and a command and a read have succeeded. It returns false on
// timeout.
func (c *campaign) convergesWithin(within time.Duration) bool {
	end := c.now + within
	if !c.runUntil(end, c.isAtTarget) || !c.commitsWithin(end-c.now) {
		return false
	}
	reads := c.checker.reads
	for c.now < end && c.checker.violation == "" {
		if n := c.leader(); n != nil {
			c.read(n)
		}
		if c.runUntil(c.now+testHeartbeat, func() bool { return c.checker.reads > reads }) {
			return true
		}
	}
	return false
}

func (c *campaign) describe() string {
	text := fmt.Sprintf("target %v, committed members %v", c.targetMembers, c.checker.members)
	for _, n := range c.nodes {
		if n.alive {
			status := n.replica.Status()
			text += fmt.Sprintf("\n%s role %d frozen %v syncing %v: %+v", n.id, n.replica.role, n.frozen, n.syncing, status)
		}
	}
	return text
}

func TestCampaigns_RandomFaults_StaySafeAndRecover(t *testing.T) {
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
					counts := [4]int{c.checker.commands, c.checker.reads, c.checker.confChanges, len(c.checker.leaders)}
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
	t.Logf("%d runs: %d commands, %d reads, %d membership changes, %d terms", campaignSeeds, sum[0], sum[1], sum[2], sum[3])
	for i, name := range []string{"commands", "reads", "membership changes", "terms"} {
		if sum[i] < campaignSeeds {
			t.Errorf("only %d %s in %d runs, want at least one per run", sum[i], name, campaignSeeds)
		}
	}
}
