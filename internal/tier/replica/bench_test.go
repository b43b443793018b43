package replica

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"
)

// benchGroup is three members without a network; the first is the leader.
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
		b.Fatal("no leader")
	}
	return g
}

// deliver gives one member a step, and the others their steps for the messages that follow.
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

// compact keeps the logs short, as a shell does.
func (g *benchGroup) compact() {
	for at, r := range g.members {
		if metadata := r.SnapshotMetadata(); metadata.Index > 0 {
			metadata.State = json.RawMessage("{}")
			g.deliver(at, Input{Compact: &metadata})
		}
	}
}

// BenchmarkHeartbeat is a heartbeat of the leader, the steps of both followers, and those of the leader for their answers.
func BenchmarkHeartbeat(b *testing.B) {
	g := newBenchGroup(b)
	b.ReportAllocs()
	for b.Loop() {
		g.now += testHeartbeat
		g.deliver(0, Input{})
	}
}

// BenchmarkProposal is a command of 1 KB in a step of its own, from the proposal until all answers are in.
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

// BenchmarkProposalBatch is 32 commands of 1 KB in one step; the figure is for all of them.
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

// BenchmarkRead is a confirmed read with its heartbeats.
func BenchmarkRead(b *testing.B) {
	g := newBenchGroup(b)
	b.ReportAllocs()
	for b.Loop() {
		g.deliver(0, Input{Reads: []uint64{1}})
	}
}
