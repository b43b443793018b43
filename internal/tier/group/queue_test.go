package group

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
)

// openSingle opens the only member of a group, in virtual time.
func openSingle(t *testing.T, name string, machine StateMachine, budget *QueueBudget, now *time.Duration) *Group {
	t.Helper()
	own := replica.Member{ID: "a", Address: "a:1"}
	opened, err := Open(Options{Name: name, Disk: memorydisk.New(), StateMachine: machine, Logger: log.NewNopLogger(), QueueBudget: budget,
		Clock: func() time.Duration { return *now }, Send: func(string, Envelope) {},
		Replica: replica.Options{ID: own.ID, Address: own.Address, InitialMembers: []replica.Member{own}, HeartbeatInterval: time.Second, ElectionTimeout: 5 * time.Second, Seed: 1}})
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

func TestProposeAsync_QueueFull_DropsCommands(t *testing.T) {
	// Given a member that runs no iteration,
	now := time.Duration(0)
	g := openSingle(t, "g", &emptyMachine{}, nil, &now)
	dropped := 0
	propose := func() {
		g.ProposeAsync(strings.Repeat("x", 1<<20), func(_ any, err error) {
			var notLeader *NotLeaderError
			if errors.As(err, &notLeader) && notLeader.Dropped {
				dropped++
			}
		})
	}
	// when commands are proposed,
	for range 10 {
		propose()
	}
	// then those beyond the limit are dropped,
	if dropped < 6 || dropped > 8 {
		t.Errorf("%d of 10 commands of 1 MB were dropped, want 6 to 8", dropped)
	}
	// and after an iteration the member accepts more.
	if _, err := g.RunOnce(); err != nil {
		t.Fatal(err)
	}
	before := dropped
	propose()
	if dropped != before {
		t.Error("a command was dropped although the queue is empty")
	}
}

func TestQueueBudget_TwoMembers_ShareIt(t *testing.T) {
	// Given two members that share a budget of 3 MB,
	now := time.Duration(0)
	budget := NewQueueBudget(3 << 20)
	first, second := openSingle(t, "g", &emptyMachine{}, budget, &now), openSingle(t, "h", &emptyMachine{}, budget, &now)
	message := func() replica.Message {
		data, _ := json.Marshal(strings.Repeat("x", 1<<20))
		return replica.Message{Kind: replica.AppendEntries, From: "b", To: "a", Entries: []replica.Entry{{Index: 1, Data: data}}}
	}
	// when the first member is sent more than that,
	for range 5 {
		first.Deliver(message())
	}
	if got := len(first.input.Messages); got != 2 {
		t.Errorf("%d messages of 1 MB are queued, want 2", got)
	}
	// then the second member may still queue one message, and no more,
	second.Deliver(message())
	second.Deliver(message())
	if got := len(second.input.Messages); got != 1 {
		t.Errorf("%d messages are queued at the second member, want 1", got)
	}
	// until the first member has run an iteration.
	if _, err := first.RunOnce(); err != nil {
		t.Fatal(err)
	}
	second.Deliver(message())
	if got := len(second.input.Messages); got != 2 {
		t.Errorf("%d messages are queued at the second member, want 2", got)
	}
	if _, err := second.RunOnce(); err != nil {
		t.Fatal(err)
	}
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes of the budget are in use although both queues are empty", used)
	}
}

// replayingMachine counts the calls of Apply and of Replay.
type replayingMachine struct {
	emptyMachine
	applied, replayed int
}

func (m *replayingMachine) Apply(uint64, json.RawMessage) any { m.applied++; return m.applied }

func (m *replayingMachine) Replay(uint64, json.RawMessage) { m.replayed++ }

func TestApply_CommandOfAnotherMember_IsReplayed(t *testing.T) {
	// Given a member whose log holds one command of another member and one of its own,
	now := time.Duration(0)
	machine := &replayingMachine{}
	g := openSingle(t, "g", machine, nil, &now)
	foreign, _ := json.Marshal(proposal{Origin: "other", Token: 1, Command: json.RawMessage(`1`)})
	var result any
	proposedBoth := false
	for range 8 {
		now += time.Second
		if !proposedBoth && g.Status().IsLeader {
			proposedBoth = true
			g.input.Proposals = append(g.input.Proposals, replica.Proposal{Token: 1 << 40, Data: foreign})
			g.ProposeAsync(7, func(got any, _ error) { result = got })
		}
		if _, err := g.RunOnce(); err != nil {
			t.Fatal(err)
		}
	}
	// then the other member's command is replayed, and its own is applied and returns a result.
	if machine.replayed != 1 || machine.applied != 1 || result != 1 {
		t.Errorf("%d commands were replayed, %d applied, result %v, want 1 of each", machine.replayed, machine.applied, result)
	}
}
