package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// fault is a fault to inject into a cluster.
type fault struct {
	Kind     string
	Host     int
	Duration time.Duration
	Delay    time.Duration // until the next fault
}

var faults = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind:     rapid.SampledFrom([]string{"kill", "restart", "freeze", "lag", "partition", "one way", "leave", "heal"}).Draw(t, "kind"),
		Host:     rapid.IntRange(0, 100).Draw(t, "host"),
		Duration: time.Duration(rapid.IntRange(100, 12_000).Draw(t, "duration")) * time.Millisecond,
		Delay:    time.Duration(rapid.IntRange(0, 8_000).Draw(t, "pause")) * time.Millisecond,
	}
})

func (c *cluster) inject(injected fault) {
	h := c.hosts[injected.Host%len(c.hosts)]
	switch injected.Kind {
	case "kill":
		c.kill(h)
	case "restart":
		c.kill(h)
		c.start(h)
	case "freeze":
		c.freeze(h, injected.Duration)
	case "lag":
		h.lag = injected.Duration / 10
	case "partition":
		c.blocked = func(from, to *host) bool { return (from == h) != (to == h) }
	case "one way":
		c.blocked = func(from, _ *host) bool { return from == h }
	case "leave":
		if h.node != nil && !h.frozen {
			c.step(h, Input{Leave: true})
			c.kill(h)
		}
	case "heal":
		c.blocked = func(_, _ *host) bool { return false }
	}
}

// healAll ends all faults except freezes, which end by themselves, and starts the hosts that are down.
func (c *cluster) healAll() {
	c.blocked = func(_, _ *host) bool { return false }
	for _, h := range c.hosts {
		h.lag = 0
		if h.node == nil {
			c.start(h)
		}
	}
}

// Given any faults, when they are over, then all running members agree on who is running, and no member's record ever reverted to
// an older incarnation or state.
func TestFleet_AnyFaults_ConvergesAfterwards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newCluster(rapid.IntRange(2, 9).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		fleet.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
		fleet.duplicate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "duplicate")
		fleet.startAll()
		fleet.runFor(5 * time.Second)
		for _, injected := range rapid.SliceOfN(faults, 0, 8).Draw(t, "faults") {
			fleet.inject(injected)
			fleet.runFor(injected.Delay)
		}
		fleet.loss = min(fleet.loss, 0.02)
		fleet.healAll()
		fleet.runFor(12 * time.Second) // until the longest freeze has ended
		if _, done := fleet.runUntil(40*time.Second, fleet.converged); !done {
			t.Fatalf("not converged:\n%s", fleet.disagreements())
		}
		for _, h := range fleet.hosts {
			checkRecordsNeverRevert(t, h)
		}
	})
}

// checkRecordsNeverRevert checks that no event of a host reverts a member to an older incarnation, or to an earlier state of the same one.
func checkRecordsNeverRevert(t *rapid.T, h *host) {
	for _, change := range h.events {
		before, after := change.Previous, change.Member
		if before.Name == "" {
			continue
		}
		if after.Incarnation < before.Incarnation || after.Incarnation == before.Incarnation && after.State < before.State {
			t.Fatalf("%s reverted a record from %v to %v", h.member.Name, before, after)
		}
	}
}

// Given a seed, when a run is repeated, then all events are the same.
func TestNetwork_SameSeed_GivesTheSameEvents(t *testing.T) {
	run := func() [][]timedEvent {
		fleet := newCluster(12, 5)
		fleet.startAll()
		fleet.runFor(5 * time.Second)
		fleet.kill(fleet.hosts[4])
		fleet.freeze(fleet.hosts[6], 9*time.Second)
		fleet.runFor(20 * time.Second)
		var changes [][]timedEvent
		for _, h := range fleet.hosts {
			changes = append(changes, h.events)
		}
		return changes
	}
	if difference := cmp.Diff(run(), run()); difference != "" {
		t.Error(difference)
	}
}

// Given members with any names and any payload, when they exchange messages, then each fits into a datagram.
func TestDatagrams_AnyNamesAndPayloads_FitTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9"<é-]{1,60}`)
		node := New(Options{Self: Member{Name: name.Draw(t, "self") + "/a", Address: "10.0.0.1:7380", Incarnation: 1 << 62}})
		var updates []Update
		for i := range rapid.IntRange(1, 60).Draw(t, "members") {
			updates = append(updates, Update{Member: Member{
				Name:        fmt.Sprintf("%s%d/store", name.Draw(t, "name"), i),
				ID:          name.Draw(t, "id"),
				Address:     "10.0.0.2:7380",
				Incarnation: rapid.Uint64().Draw(t, "incarnation"),
				State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
			}, From: name.Draw(t, "by")})
		}
		payload := json.RawMessage(`"` + strings.Repeat("x", rapid.IntRange(0, 600).Draw(t, "payload")) + `"`)
		input := Input{
			Payload:   payload,
			Datagrams: []Datagram{{"10.0.0.2:7380", Message{Kind: MsgPing, From: updates[0].Name, Sequence: 1 << 63, Updates: updates}}},
		}
		now := time.Duration(0)
		for range 20 {
			effects := node.Step(now, input)
			for _, datagram := range effects.Datagrams {
				encoded, err := json.Marshal(datagram.Message)
				if err != nil || len(encoded) > MaxDatagramBytes {
					t.Fatalf("datagram has %d bytes, want at most MaxDatagramBytes; error %v: %s", len(encoded), err, encoded)
				}
			}
			now = effects.NextWake
			input = Input{}
		}
	})
}

// Given two tables, when one node completes a push-pull with the other, then both tables have the same records.
func TestPushPull_AnyTwoTables_AreTheSameAfterOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := twoNodes(t)
		request := Input{Datagrams: []Datagram{{second.self.Address, Message{Kind: MsgGossip, From: second.self.Name, Incarnation: 1}}}}
		calls := first.Step(time.Second, request).Calls
		for len(calls) > 0 {
			replies := second.Step(time.Second, Input{Arrivals: []PushPullArrival{{1, calls[0].Message}}}).Replies
			outcome := PushPullResult{Token: calls[0].Token, Response: replies[0].Message}
			calls = first.Step(time.Second, Input{Results: []PushPullResult{outcome}}).Calls
		}
		if difference := cmp.Diff(membersOf(first), membersOf(second)); difference != "" {
			t.Fatal(difference)
		}
		if first.table.hash != second.table.hash {
			t.Fatal("the tables have the same records but different hashes")
		}
	})
}

// twoNodes returns two nodes, each of which knows some members that the other may not know.
func twoNodes(t *rapid.T) (first, second *Node) {
	nodes := make([]*Node, 2)
	for i := range nodes {
		self := Member{Name: fmt.Sprintf("node-%d/store", i), Address: fmt.Sprintf("10.0.0.%d:7380", i), Incarnation: 1}
		nodes[i] = New(Options{Self: self, Seeds: []string{}})
		var updates []Update
		for _, number := range rapid.SliceOfN(rapid.IntRange(0, 30), 0, 20).Draw(t, "known") {
			incarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			updates = append(updates, Update{Member: Member{
				Name:        fmt.Sprintf("other-%d/agent", number),
				ID:          fmt.Sprint(incarnation),
				Address:     fmt.Sprintf("10.0.1.%d:7380", number),
				Incarnation: incarnation,
			}})
		}
		nodes[i].Step(time.Millisecond, Input{Datagrams: []Datagram{{"10.0.9.9:7380", Message{Kind: MsgGossip, From: "x", To: "y", Updates: updates}}}})
	}
	return nodes[0], nodes[1]
}

func membersOf(node *Node) []Member {
	members := slices.Clone(node.Members())
	return members
}
