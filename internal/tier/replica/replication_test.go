package replica

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// manualLeader is a leader "a" whose steps a test makes one by one, while the test plays the other members.
type manualLeader struct {
	t   *testing.T
	r   *Replica
	now time.Duration
}

// newManualLeader makes "a" the leader of term 1 with its first entry committed.
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
	p := &manualLeader{t: t, r: r}
	p.now = p.step(Input{}).NextWake
	p.step(Input{})
	for _, id := range initial[1:] {
		p.step(Input{Messages: []Message{{Kind: RequestVoteResponse, From: id, To: "a", Term: 1, PreVote: true}}})
	}
	for _, id := range initial[1:] {
		p.step(Input{Messages: []Message{{Kind: RequestVoteResponse, From: id, To: "a", Term: 1}}})
	}
	for _, id := range initial[1:] {
		p.acknowledge(id, 1)
	}
	p.step(Input{})
	if !r.Status().IsLeader {
		t.Fatalf("not the leader: %+v", r.Status())
	}
	return p
}

func (p *manualLeader) step(input Input) Ready {
	return p.r.Step(p.now, input)
}

// acknowledge lets a follower respond that it has the log up to index.
func (p *manualLeader) acknowledge(id string, index uint64) Ready {
	answer := Message{Kind: AppendEntriesResponse, From: id, To: "a", Term: 1, Index: index}
	return p.step(Input{Messages: []Message{answer}})
}

func command(token uint64, size int) Proposal {
	data, _ := json.Marshal(strings.Repeat("x", size))
	return Proposal{Token: token, Data: data}
}

// appendsTo are the entries of each append that goes to a follower.
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

func TestReplication_ProposalsOfOneStep_LeaveBeforeSyncInOneAppend(t *testing.T) {
	p := newManualLeader(t, "a", "b", "c")
	ready := p.step(Input{Proposals: []Proposal{command(1, 10), command(2, 10), command(3, 10)}})
	for _, id := range []string{"b", "c"} {
		if difference := cmp.Diff([][]uint64{{2, 3, 4}}, appendsTo(ready.MessagesBeforeSync, id)); difference != "" {
			t.Errorf("appends to %s (-want +got):\n%s", id, difference)
		}
	}
	if len(ready.Entries) != 3 || len(ready.CommittedEntries) != 0 || len(ready.Outcomes) != 0 {
		t.Errorf("ready %+v", ready)
	}
	ready = p.acknowledge("c", 3)
	want := []Outcome{{Token: 1, Done: true}, {Token: 2, Done: true}}
	if difference := cmp.Diff(want, ready.Outcomes); difference != "" || len(ready.CommittedEntries) != 2 {
		t.Errorf("committed %v, outcomes (-want +got):\n%s", ready.CommittedEntries, difference)
	}
}

func TestReplication_NoResponses_AppendsArePipelined(t *testing.T) {
	p := newManualLeader(t, "a", "b", "c")
	for token := uint64(1); token <= 3; token++ {
		ready := p.step(Input{Proposals: []Proposal{command(token, 10)}})
		if difference := cmp.Diff([][]uint64{{token + 1}}, appendsTo(ready.MessagesBeforeSync, "b")); difference != "" {
			t.Errorf("appends (-want +got):\n%s", difference)
		}
	}
}

func TestReplication_BytesInFlightAndPerMessage_AreBounded(t *testing.T) {
	p := newManualLeader(t, "a", "b", "c")
	const size = 10 << 10
	sent := 0
	for token := range uint64(300) {
		ready := p.step(Input{Proposals: []Proposal{command(token, size)}})
		for _, indexes := range appendsTo(ready.MessagesBeforeSync, "b") {
			sent += len(indexes) * size
		}
	}
	if sent < defaultLimits.maxInflightBytes-2*size || sent > defaultLimits.maxInflightBytes+size {
		t.Errorf("%d bytes in flight, want about %d", sent, defaultLimits.maxInflightBytes)
	}
	ready := p.acknowledge("b", 101)
	for _, indexes := range appendsTo(ready.MessagesBeforeSync, "b") {
		if len(indexes)*size > defaultLimits.maxMessageBytes {
			t.Errorf("a message of %d entries", len(indexes))
		}
	}
	large := p.step(Input{Proposals: []Proposal{command(999, 2*defaultLimits.maxMessageBytes)}})
	if len(large.Entries) != 1 || large.Entries[0].Index != 302 {
		t.Errorf("a large entry is not taken: %d", len(large.Entries))
	}
}

func TestLeader_ProposalsBeyondPendingLimit_AreDropped(t *testing.T) {
	p := newManualLeader(t, "a", "b", "c")
	half := defaultLimits.maxPendingBytes/2 - 100
	input := Input{Proposals: []Proposal{command(1, half), command(2, half), command(3, half)}}
	ready := p.step(input)
	if difference := cmp.Diff([]Outcome{{Token: 3, Dropped: true}}, ready.Outcomes); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
	p.acknowledge("b", 3)
	if ready = p.step(Input{Proposals: []Proposal{command(4, half)}}); len(ready.Outcomes) != 0 {
		t.Errorf("refused though all is committed: %+v", ready.Outcomes)
	}
}

func TestCommit_SingleVoter_FollowsItsSync(t *testing.T) {
	p := newManualLeader(t, "a")
	ready := p.step(Input{Proposals: []Proposal{command(1, 10)}})
	if len(ready.Entries) != 1 || len(ready.CommittedEntries) != 0 || ready.NextWake != p.now {
		t.Errorf("first step: %+v", ready)
	}
	ready = p.step(Input{})
	if len(ready.CommittedEntries) != 1 || len(ready.Outcomes) != 1 || ready.NextWake <= p.now {
		t.Errorf("second step: %+v", ready)
	}
}

func TestCommit_OtherVotersSynced_NeedsNoLocalSync(t *testing.T) {
	p := newManualLeader(t, "a", "b", "c")
	p.step(Input{Proposals: []Proposal{command(1, 10)}})
	input := Input{
		Proposals: []Proposal{command(2, 10)},
		Messages: []Message{
			{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 1, Index: 2},
			{Kind: AppendEntriesResponse, From: "c", To: "a", Term: 1, Index: 2},
		},
	}
	if ready := p.step(input); len(ready.CommittedEntries) != 1 || ready.CommittedEntries[0].Index != 2 {
		t.Errorf("committed %+v", ready.CommittedEntries)
	}
}

// newTestFollower makes "b" a follower with a log of those terms.
func newTestFollower(t *testing.T, term uint64, terms ...uint64) *Replica {
	t.Helper()
	members := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	options := Options{ID: "b", InitialMembers: members, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	r, err := New(options, diskOf(term, terms...), 0)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestFollower_AppendEntries_AppendsReplacesOrRejects(t *testing.T) {
	entry := func(index, term uint64) Entry { return Entry{Index: index, Term: term, Kind: NoOp} }
	cases := []struct {
		name     string
		log      []uint64
		message  Message
		want     Message
		truncate uint64
		append   int
		commit   uint64
	}{
		{
			name:    "entries behind the log",
			log:     []uint64{1, 1},
			message: Message{Term: 2, Index: 2, LogTerm: 1, Entries: []Entry{entry(3, 2), entry(4, 2)}, Commit: 3},
			want:    Message{Index: 4},
			append:  2,
			commit:  3,
		},
		{
			name:     "entries in place of others",
			log:      []uint64{1, 1, 1, 1},
			message:  Message{Term: 2, Index: 2, LogTerm: 1, Entries: []Entry{entry(3, 2)}},
			want:     Message{Index: 3},
			truncate: 3,
			append:   1,
		},
		{
			name:    "entries that it has keep what follows",
			log:     []uint64{1, 1, 1, 1},
			message: Message{Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{entry(2, 1)}, Commit: 4},
			want:    Message{Index: 2},
			commit:  2,
		},
		{
			name:    "a gap",
			log:     []uint64{1, 1},
			message: Message{Term: 2, Index: 9, LogTerm: 2, Entries: []Entry{entry(10, 2)}},
			want:    Message{Index: 9, Reject: true, RejectHint: 2, LogTerm: 1},
		},
		{
			name:    "a different entry before",
			log:     []uint64{1, 1, 2, 2, 2, 2},
			message: Message{Term: 3, Index: 5, LogTerm: 1},
			want:    Message{Index: 5, Reject: true, RejectHint: 2, LogTerm: 1},
		},
		{
			name:    "a heartbeat",
			log:     []uint64{1, 1},
			message: Message{Term: 2, Index: 2, LogTerm: 1, Commit: 2, ReadContext: 7},
			want:    Message{Index: 2, ReadContext: 7},
			commit:  2,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestFollower(t, 2, tc.log...)
			tc.message.Kind, tc.message.From, tc.message.To = AppendEntries, "a", "b"
			tc.want.Kind, tc.want.From, tc.want.To, tc.want.Term = AppendEntriesResponse, "b", "a", tc.message.Term
			ready := r.Step(0, Input{Messages: []Message{tc.message}})
			if difference := cmp.Diff([]Message{tc.want}, ready.MessagesAfterSync); difference != "" {
				t.Errorf("answer (-want +got):\n%s", difference)
			}
			if len(ready.MessagesBeforeSync) != 0 {
				t.Errorf("early messages %+v", ready.MessagesBeforeSync)
			}
			if ready.TruncateFrom != tc.truncate || len(ready.Entries) != tc.append || r.Status().Commit != tc.commit {
				t.Errorf("truncate %d, append %d, commit %d", ready.TruncateFrom, len(ready.Entries), r.Status().Commit)
			}
		})
	}
}

func TestFollower_AppendOfEarlierTerm_IsRejected(t *testing.T) {
	r := newTestFollower(t, 5, 1)
	message := Message{Kind: AppendEntries, From: "a", To: "b", Term: 4, Index: 1, LogTerm: 1}
	ready := r.Step(0, Input{Messages: []Message{message}})
	want := []Message{{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 5, Reject: true}}
	if difference := cmp.Diff(want, ready.MessagesAfterSync); difference != "" {
		t.Errorf("answer (-want +got):\n%s", difference)
	}
}

func TestFollower_AppendsOfOneStep_AreAcknowledgedInOneMessage(t *testing.T) {
	r := newTestFollower(t, 1, 1)
	var messages []Message
	for index := uint64(1); index <= 5; index++ {
		messages = append(messages, Message{
			Kind: AppendEntries, From: "a", To: "b", Term: 1, Index: index, LogTerm: 1, ReadContext: index,
			Entries: []Entry{{Index: index + 1, Term: 1}},
		})
	}
	ready := r.Step(0, Input{Messages: messages})
	want := []Message{{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 1, Index: 6, ReadContext: 5}}
	if difference := cmp.Diff(want, ready.MessagesAfterSync); difference != "" || len(ready.Entries) != 5 {
		t.Errorf("%d entries, answers (-want +got):\n%s", len(ready.Entries), difference)
	}
}

func TestReplica_MessageForAnotherIdentity_IsDropped(t *testing.T) {
	r := newTestFollower(t, 1, 1)
	message := Message{Kind: AppendEntries, From: "a", To: "earlier", Term: 9, Index: 1, LogTerm: 1}
	ready := r.Step(0, Input{Messages: []Message{message}})
	if len(ready.MessagesAfterSync) != 0 || ready.HardState != nil {
		t.Errorf("ready %+v", ready)
	}
}

func TestRaftLog_EntriesHandedOut_AreNeverChanged(t *testing.T) {
	r := newTestFollower(t, 1, 1)
	first := []Entry{{Index: 2, Term: 1, Data: json.RawMessage(`"old"`)}, {Index: 3, Term: 1}}
	ready := r.Step(0, Input{Messages: []Message{{
		Kind: AppendEntries, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Entries: first,
	}}})
	handedOut := ready.Entries
	before := slices.Clone(handedOut)
	r.Step(0, Input{Messages: []Message{{
		Kind: AppendEntries, From: "c", To: "b", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 2, Data: json.RawMessage(`"new"`)}, {Index: 3, Term: 2}},
	}}})
	if difference := cmp.Diff(before, handedOut); difference != "" {
		t.Errorf("entries handed out before (-before +after):\n%s", difference)
	}
}

func TestReplication_ConflictingLogs_AreRepairedInFewMessages(t *testing.T) {
	s := newSimulation(5, 3, 0, noFaults)
	long := func(terms ...uint64) Recovered {
		var log []uint64
		for _, term := range terms {
			log = append(log, slices.Repeat([]uint64{term}, 200)...)
		}
		return diskOf(9, log...)
	}
	s.nodes[0].disk = long(1, 4, 5)
	s.nodes[1].disk = long(1, 2, 3)
	s.nodes[2].disk = long(1, 4, 5)
	rejections := 0
	s.drop = func(m Message) bool {
		if m.Kind == AppendEntriesResponse && m.Reject {
			rejections++
		}
		return false
	}
	s.startAll()
	if !s.commitsWithin(time.Second) {
		t.Fatal("nothing is committed")
	}
	s.runFor(4 * testHeartbeat)
	if got := s.nodes[1].machine.Index; got < 600 {
		t.Errorf("the member with the other log has applied %d entries", got)
	}
	if rejections > 4 {
		t.Errorf("%d rejections", rejections)
	}
	s.requireSafe(t)
}

func TestReplication_AppendLost_IsSentAgainWithinTwoHeartbeats(t *testing.T) {
	s, first := newGroupWithLeader(t, 6, 3, 0)
	s.drop = func(m Message) bool { return len(m.Entries) > 0 }
	s.propose(first)
	s.runFor(testHeartbeat / 4)
	s.drop = nil
	s.runFor(2 * testHeartbeat)
	if s.checker.commands != 1 {
		t.Errorf("%d commands are done", s.checker.commands)
	}
	s.requireSafe(t)
}

func TestReplication_FollowerInactive_IsSentNoEntries(t *testing.T) {
	s, first := newGroupWithLeader(t, 7, 3, 0)
	silent := s.others(first)[0]
	s.kill(silent)
	s.runFor(2 * testElection)
	entries := 0
	s.drop = func(m Message) bool {
		if m.To == silent.id {
			entries += len(m.Entries)
		}
		return false
	}
	for range 100 {
		s.propose(first)
		s.runFor(testHeartbeat / 10)
	}
	if entries > 0 {
		t.Errorf("%d entries were sent", entries)
	}
	s.start(silent)
	s.runFor(4 * testHeartbeat)
	if got := silent.machine.Index; got < 100 {
		t.Errorf("it has applied only %d entries", got)
	}
	s.requireSafe(t)
}

func TestCommit_PowerLossEverywhere_KeepsAcknowledgedCommands(t *testing.T) {
	s, first := newGroupWithLeader(t, 8, 3, 0)
	for range 50 {
		s.propose(first)
	}
	s.runUntil(s.now+time.Second, func() bool { return s.checker.commands > 0 })
	for _, n := range s.nodes {
		s.kill(n)
	}
	s.startAll()
	if !s.commitsWithin(time.Second) {
		t.Error("nothing is committed after the restart")
	}
	s.requireSafe(t)
}

func TestNew_InconsistentDisk_IsRejected(t *testing.T) {
	snapshot := &Snapshot{Index: 4, Term: 2, Members: []Member{{ID: "a"}}}
	cases := []struct {
		name      string
		recovered Recovered
		refused   bool
	}{
		{name: "empty"},
		{name: "complete", recovered: diskOf(2, 1, 2)},
		{name: "a gap", recovered: Recovered{Entries: []Entry{{Index: 2}}}, refused: true},
		{name: "terms go back", recovered: diskOf(2, 2, 1), refused: true},
		{name: "hard state lost", recovered: diskOf(1, 1, 2), refused: true},
		{name: "hard state lost beside a snapshot", recovered: Recovered{Snapshot: snapshot}, refused: true},
		{
			name: "entries before the snapshot",
			recovered: Recovered{
				HardState: HardState{Term: 3},
				Snapshot:  snapshot,
				Entries:   []Entry{{Index: 3, Term: 2}, {Index: 4, Term: 2}, {Index: 5, Term: 3}},
			},
		},
		{
			name: "members that cannot be read",
			recovered: Recovered{
				HardState: HardState{Term: 1},
				Entries:   []Entry{{Index: 1, Term: 1, Kind: ConfChange, Data: json.RawMessage(`{`)}},
			},
			refused: true,
		},
	}
	options := Options{ID: "a", HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := New(options, tc.recovered, 0)
			if refused := err != nil; refused != tc.refused {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestNew_InvalidOptions_AreRejected(t *testing.T) {
	cases := []Options{
		{HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection},
		{ID: "a", ElectionTimeout: testElection},
		{ID: "a", HeartbeatInterval: testHeartbeat, ElectionTimeout: 2 * testHeartbeat},
	}
	for _, options := range cases {
		if _, err := New(options, Recovered{}, 0); err == nil {
			t.Errorf("%+v is accepted", options)
		}
	}
}
