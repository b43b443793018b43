package replica

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// manualLeader is the leader "a", whose steps a test makes one by one. The test supplies the messages of the other members.
type manualLeader struct {
	t   *testing.T
	r   *Replica
	now time.Duration
}

// newManualLeader returns the leader of term 1 with its first entry committed.
func newManualLeader(t *testing.T, initial ...string) *manualLeader {
	t.Helper()
	var members []Member
	for _, id := range initial {
		members = append(members, Member{ID: id})
	}
	options := Options{ID: "a", InitialMembers: members, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	r, err := New(options, Recovered{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	manual := &manualLeader{t: t, r: r}
	manual.now = manual.step(Input{}).NextWake
	manual.step(Input{})
	for _, id := range initial[1:] {
		manual.step(Input{Messages: []Message{{Kind: RequestVoteResponse, From: id, To: "a", Term: 1, PreVote: true}}})
	}
	for _, id := range initial[1:] {
		manual.step(Input{Messages: []Message{{Kind: RequestVoteResponse, From: id, To: "a", Term: 1}}})
	}
	for _, id := range initial[1:] {
		manual.acknowledge(id, 1)
	}
	manual.step(Input{})
	if !r.Status().IsLeader {
		t.Fatalf("the member is not the leader: %+v", r.Status())
	}
	return manual
}

func (m *manualLeader) step(input Input) Ready {
	return m.r.Step(m.now, input)
}

// acknowledge delivers a response from a follower that its log matches up to index.
func (m *manualLeader) acknowledge(id string, index uint64) Ready {
	response := Message{Kind: AppendEntriesResponse, From: id, To: "a", Term: 1, Index: index}
	return m.step(Input{Messages: []Message{response}})
}

func command(token uint64, size int) Proposal {
	data, _ := json.Marshal(strings.Repeat("x", size))
	return Proposal{Token: token, Data: data}
}

// appendsTo returns the indexes of the entries in each append to the given follower.
func appendsTo(messages []Message, id string) [][]uint64 {
	var appends [][]uint64
	for _, message := range messages {
		if message.Kind != AppendEntries || message.To != id {
			continue
		}
		var indexes []uint64
		for _, entry := range message.Entries {
			indexes = append(indexes, entry.Index)
		}
		appends = append(appends, indexes)
	}
	return appends
}
