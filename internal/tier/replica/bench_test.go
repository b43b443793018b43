package replica

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"
)

// benchGroup is a group of three members whose messages are delivered directly, without a network. The first member is the
// leader.
type benchGroup struct {
	members []*Replica
	now     time.Duration
}

func newBenchGroup(b *testing.B) *benchGroup {
	b.Helper()
	group := []Member{{ID: "a", Address: "10.0.0.1:7000"}, {ID: "b", Address: "10.0.0.2:7000"}, {ID: "c", Address: "10.0.0.3:7000"}}
	g := &benchGroup{}
	for i := range group {
		options := Options{ID: group[i].ID, Address: group[i].Address, InitialMembers: group, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
		r, err := New(options, Recovered{}, 0)
		if err != nil {
			b.Fatal(err)
		}
		g.members = append(g.members, r)
	}
	g.now = 2 * testElection
	g.deliver(0, Input{})
	if !g.members[0].Status().IsLeader {
		b.Fatal("the first member is not the leader after its election timeout")
	}
	return g
}

// deliver gives one member a Step, delivers the resulting messages to the others at once, and so on recursively. It returns
// the number of entries that were committed on all members together.
func (g *benchGroup) deliver(at int, input Input) (committed int) {
	ready := g.members[at].Step(g.now, input)
	committed += len(ready.CommittedEntries)
	for _, messages := range [2][]Message{ready.MessagesBeforeSync, ready.MessagesAfterSync} {
		for i := range messages {
			to := int(messages[i].To[0] - 'a')
			committed += g.deliver(to, Input{Messages: messages[i : i+1]})
		}
	}
	return committed
}

// compact drops applied entries from all logs, as the caller does in production after saving a snapshot.
func (g *benchGroup) compact() {
	for at, r := range g.members {
		if metadata := r.SnapshotMetadata(); metadata.Index > 0 {
			metadata.State = json.RawMessage("{}")
			g.deliver(at, Input{Compact: &metadata})
		}
	}
}

// BenchmarkHeartbeat measures one heartbeat of the leader, including the followers' steps and the leader's steps for their
// responses.
func BenchmarkHeartbeat(b *testing.B) {
	g := newBenchGroup(b)
	b.ReportAllocs()
	for b.Loop() {
		g.now += testHeartbeat
		g.deliver(0, Input{})
	}
}

// BenchmarkProposal measures one command of 1 KB proposed in its own step, until all responses have been handled.
func BenchmarkProposal(b *testing.B) {
	g := newBenchGroup(b)
	proposals := []Proposal{{Token: 1, Data: bytes.Repeat([]byte("1"), 1024)}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.deliver(0, Input{Proposals: proposals})
		if i%1000 == 999 {
			g.compact()
		}
	}
}

// BenchmarkProposalBatch measures 32 commands of 1 KB proposed in one step; the result is for all 32.
func BenchmarkProposalBatch(b *testing.B) {
	g := newBenchGroup(b)
	proposals := make([]Proposal, 32)
	for i := range proposals {
		proposals[i] = Proposal{Token: uint64(i), Data: bytes.Repeat([]byte("1"), 1024)}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		g.deliver(0, Input{Proposals: proposals})
		if i%100 == 99 {
			g.compact()
		}
	}
}

// BenchmarkRead measures one confirmed read, including its heartbeats.
func BenchmarkRead(b *testing.B) {
	g := newBenchGroup(b)
	b.ReportAllocs()
	for b.Loop() {
		g.deliver(0, Input{Reads: []uint64{1}})
	}
}
