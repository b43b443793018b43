package replica

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// handDriven is an owner "a" whose steps a test makes one by one, while the test plays the other members.
type handDriven struct {
	t   *testing.T
	r   *Replica
	now time.Duration
}

// givenOwnerByHand makes "a" the owner of epoch 1 with its first entry committed.
func givenOwnerByHand(t *testing.T, initial ...string) *handDriven {
	t.Helper()
	var members []Member
	for _, id := range initial {
		members = append(members, Member{ID: id})
	}
	options := Options{ID: "a", Initial: members, Heartbeat: testHeartbeat, Election: testElection}
	r, err := New(options, Recovered{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := &handDriven{t: t, r: r}
	p.now = p.step(Input{}).NextWake
	p.step(Input{})
	for _, id := range initial[1:] {
		p.step(Input{Messages: []Message{{Kind: AnswerVote, From: id, To: "a", Epoch: 1, Trial: true}}})
	}
	for _, id := range initial[1:] {
		p.step(Input{Messages: []Message{{Kind: AnswerVote, From: id, To: "a", Epoch: 1}}})
	}
	for _, id := range initial[1:] {
		p.acknowledge(id, 1)
	}
	p.step(Input{})
	if !r.Status().IsOwner {
		t.Fatalf("not the owner: %+v", r.Status())
	}
	return p
}

func (p *handDriven) step(input Input) Effects {
	return p.r.Step(p.now, input)
}

// acknowledge lets a follower answer that it has the log up to index.
func (p *handDriven) acknowledge(id string, index uint64) Effects {
	answer := Message{Kind: AnswerAppend, From: id, To: "a", Epoch: 1, Index: index}
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
		if message.Kind != Append || message.To != id {
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

func TestProposalsOfAStepLeaveEarlyInOneAppend(t *testing.T) {
	p := givenOwnerByHand(t, "a", "b", "c")
	effects := p.step(Input{Proposals: []Proposal{command(1, 10), command(2, 10), command(3, 10)}})
	for _, id := range []string{"b", "c"} {
		if difference := cmp.Diff([][]uint64{{2, 3, 4}}, appendsTo(effects.Early, id)); difference != "" {
			t.Errorf("appends to %s (-want +got):\n%s", id, difference)
		}
	}
	if len(effects.Append) != 3 || len(effects.Committed) != 0 || len(effects.Outcomes) != 0 {
		t.Errorf("effects %+v", effects)
	}
	effects = p.acknowledge("c", 3)
	want := []Outcome{{Token: 1, Done: true}, {Token: 2, Done: true}}
	if difference := cmp.Diff(want, effects.Outcomes); difference != "" || len(effects.Committed) != 2 {
		t.Errorf("committed %v, outcomes (-want +got):\n%s", effects.Committed, difference)
	}
}

func TestAppendsFollowEachOtherWithoutAnswers(t *testing.T) {
	p := givenOwnerByHand(t, "a", "b", "c")
	for token := uint64(1); token <= 3; token++ {
		effects := p.step(Input{Proposals: []Proposal{command(token, 10)}})
		if difference := cmp.Diff([][]uint64{{token + 1}}, appendsTo(effects.Early, "b")); difference != "" {
			t.Errorf("appends (-want +got):\n%s", difference)
		}
	}
}

func TestBytesInFlightAndInAMessageAreBounded(t *testing.T) {
	p := givenOwnerByHand(t, "a", "b", "c")
	const size = 10 << 10
	sent := 0
	for token := range uint64(300) {
		effects := p.step(Input{Proposals: []Proposal{command(token, size)}})
		for _, indexes := range appendsTo(effects.Early, "b") {
			sent += len(indexes) * size
		}
	}
	if sent < usualLimits.flight-2*size || sent > usualLimits.flight+size {
		t.Errorf("%d bytes in flight, want about %d", sent, usualLimits.flight)
	}
	effects := p.acknowledge("b", 101)
	for _, indexes := range appendsTo(effects.Early, "b") {
		if len(indexes)*size > usualLimits.message {
			t.Errorf("a message of %d entries", len(indexes))
		}
	}
	large := p.step(Input{Proposals: []Proposal{command(999, 2*usualLimits.message)}})
	if len(large.Append) != 1 || large.Append[0].Index != 302 {
		t.Errorf("a large entry is not taken: %d", len(large.Append))
	}
}

func TestProposalsBeyondTheOpenLimitAreRefused(t *testing.T) {
	p := givenOwnerByHand(t, "a", "b", "c")
	half := usualLimits.open/2 - 100
	input := Input{Proposals: []Proposal{command(1, half), command(2, half), command(3, half)}}
	effects := p.step(input)
	if difference := cmp.Diff([]Outcome{{Token: 3, Never: true}}, effects.Outcomes); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
	p.acknowledge("b", 3)
	if effects = p.step(Input{Proposals: []Proposal{command(4, half)}}); len(effects.Outcomes) != 0 {
		t.Errorf("refused though all is committed: %+v", effects.Outcomes)
	}
}

func TestGroupOfOneCommitsAfterItsSync(t *testing.T) {
	p := givenOwnerByHand(t, "a")
	effects := p.step(Input{Proposals: []Proposal{command(1, 10)}})
	if len(effects.Append) != 1 || len(effects.Committed) != 0 || effects.NextWake != p.now {
		t.Errorf("first step: %+v", effects)
	}
	effects = p.step(Input{})
	if len(effects.Committed) != 1 || len(effects.Outcomes) != 1 || effects.NextWake <= p.now {
		t.Errorf("second step: %+v", effects)
	}
}

func TestOtherMembersMayCommitBeforeTheOwnSync(t *testing.T) {
	p := givenOwnerByHand(t, "a", "b", "c")
	p.step(Input{Proposals: []Proposal{command(1, 10)}})
	input := Input{
		Proposals: []Proposal{command(2, 10)},
		Messages: []Message{
			{Kind: AnswerAppend, From: "b", To: "a", Epoch: 1, Index: 2},
			{Kind: AnswerAppend, From: "c", To: "a", Epoch: 1, Index: 2},
		},
	}
	if effects := p.step(input); len(effects.Committed) != 1 || effects.Committed[0].Index != 2 {
		t.Errorf("committed %+v", effects.Committed)
	}
}

// givenFollower makes "b" a follower with a log of those epochs.
func givenFollower(t *testing.T, promised uint64, epochs ...uint64) *Replica {
	t.Helper()
	members := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	options := Options{ID: "b", Initial: members, Heartbeat: testHeartbeat, Election: testElection}
	r, err := New(options, diskOf(promised, epochs...), 0)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestFollowerTakesAppends(t *testing.T) {
	entry := func(index, epoch uint64) Entry { return Entry{Index: index, Epoch: epoch, Kind: Opening} }
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
			message: Message{Epoch: 2, Index: 2, LogEpoch: 1, Entries: []Entry{entry(3, 2), entry(4, 2)}, Commit: 3},
			want:    Message{Index: 4},
			append:  2,
			commit:  3,
		},
		{
			name:     "entries in place of others",
			log:      []uint64{1, 1, 1, 1},
			message:  Message{Epoch: 2, Index: 2, LogEpoch: 1, Entries: []Entry{entry(3, 2)}},
			want:     Message{Index: 3},
			truncate: 3,
			append:   1,
		},
		{
			name:    "entries that it has keep what follows",
			log:     []uint64{1, 1, 1, 1},
			message: Message{Epoch: 2, Index: 1, LogEpoch: 1, Entries: []Entry{entry(2, 1)}, Commit: 4},
			want:    Message{Index: 2},
			commit:  2,
		},
		{
			name:    "a gap",
			log:     []uint64{1, 1},
			message: Message{Epoch: 2, Index: 9, LogEpoch: 2, Entries: []Entry{entry(10, 2)}},
			want:    Message{Index: 9, Rejected: true, Hint: 2, LogEpoch: 1},
		},
		{
			name:    "a different entry before",
			log:     []uint64{1, 1, 2, 2, 2, 2},
			message: Message{Epoch: 3, Index: 5, LogEpoch: 1},
			want:    Message{Index: 5, Rejected: true, Hint: 2, LogEpoch: 1},
		},
		{
			name:    "a heartbeat",
			log:     []uint64{1, 1},
			message: Message{Epoch: 2, Index: 2, LogEpoch: 1, Commit: 2, Round: 7},
			want:    Message{Index: 2, Round: 7},
			commit:  2,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := givenFollower(t, 2, tc.log...)
			tc.message.Kind, tc.message.From, tc.message.To = Append, "a", "b"
			tc.want.Kind, tc.want.From, tc.want.To, tc.want.Epoch = AnswerAppend, "b", "a", tc.message.Epoch
			effects := r.Step(0, Input{Messages: []Message{tc.message}})
			if difference := cmp.Diff([]Message{tc.want}, effects.AfterSync); difference != "" {
				t.Errorf("answer (-want +got):\n%s", difference)
			}
			if len(effects.Early) != 0 {
				t.Errorf("early messages %+v", effects.Early)
			}
			if effects.Truncate != tc.truncate || len(effects.Append) != tc.append || r.Status().Commit != tc.commit {
				t.Errorf("truncate %d, append %d, commit %d", effects.Truncate, len(effects.Append), r.Status().Commit)
			}
		})
	}
}

func TestAppendOfAnEarlierEpochIsTurnedAway(t *testing.T) {
	r := givenFollower(t, 5, 1)
	message := Message{Kind: Append, From: "a", To: "b", Epoch: 4, Index: 1, LogEpoch: 1}
	effects := r.Step(0, Input{Messages: []Message{message}})
	want := []Message{{Kind: AnswerAppend, From: "b", To: "a", Epoch: 5, Rejected: true}}
	if difference := cmp.Diff(want, effects.AfterSync); difference != "" {
		t.Errorf("answer (-want +got):\n%s", difference)
	}
}

func TestAcknowledgementsOfAStepGoInOneMessage(t *testing.T) {
	r := givenFollower(t, 1, 1)
	var messages []Message
	for index := uint64(1); index <= 5; index++ {
		messages = append(messages, Message{
			Kind: Append, From: "a", To: "b", Epoch: 1, Index: index, LogEpoch: 1, Round: index,
			Entries: []Entry{{Index: index + 1, Epoch: 1}},
		})
	}
	effects := r.Step(0, Input{Messages: messages})
	want := []Message{{Kind: AnswerAppend, From: "b", To: "a", Epoch: 1, Index: 6, Round: 5}}
	if difference := cmp.Diff(want, effects.AfterSync); difference != "" || len(effects.Append) != 5 {
		t.Errorf("%d entries, answers (-want +got):\n%s", len(effects.Append), difference)
	}
}

func TestMessageForAnotherIdentityIsDropped(t *testing.T) {
	r := givenFollower(t, 1, 1)
	message := Message{Kind: Append, From: "a", To: "earlier", Epoch: 9, Index: 1, LogEpoch: 1}
	effects := r.Step(0, Input{Messages: []Message{message}})
	if len(effects.AfterSync) != 0 || effects.Promise != nil {
		t.Errorf("effects %+v", effects)
	}
}

func TestSentEntriesAreNeverChanged(t *testing.T) {
	r := givenFollower(t, 1, 1)
	first := []Entry{{Index: 2, Epoch: 1, Data: json.RawMessage(`"old"`)}, {Index: 3, Epoch: 1}}
	effects := r.Step(0, Input{Messages: []Message{{
		Kind: Append, From: "a", To: "b", Epoch: 1, Index: 1, LogEpoch: 1, Entries: first,
	}}})
	kept := effects.Append
	before := slices.Clone(kept)
	r.Step(0, Input{Messages: []Message{{
		Kind: Append, From: "c", To: "b", Epoch: 2, Index: 1, LogEpoch: 1,
		Entries: []Entry{{Index: 2, Epoch: 2, Data: json.RawMessage(`"new"`)}, {Index: 3, Epoch: 2}},
	}}})
	if difference := cmp.Diff(before, kept); difference != "" {
		t.Errorf("entries handed out before (-before +after):\n%s", difference)
	}
}

func TestLogsThatDifferAreRepairedInFewMessages(t *testing.T) {
	s := newSimulation(5, 3, 0, calm)
	long := func(epochs ...uint64) Recovered {
		var log []uint64
		for _, epoch := range epochs {
			log = append(log, slices.Repeat([]uint64{epoch}, 200)...)
		}
		return diskOf(9, log...)
	}
	s.nodes[0].disk = long(1, 4, 5)
	s.nodes[1].disk = long(1, 2, 3)
	s.nodes[2].disk = long(1, 4, 5)
	rejections := 0
	s.drop = func(m Message) bool {
		if m.Kind == AnswerAppend && m.Rejected {
			rejections++
		}
		return false
	}
	s.startAll()
	if !s.whenDone(time.Second) {
		t.Fatal("nothing is committed")
	}
	s.runFor(4 * testHeartbeat)
	if got := s.nodes[1].machine.Index; got < 600 {
		t.Errorf("the member with the other log has applied %d entries", got)
	}
	if rejections > 4 {
		t.Errorf("%d rejections", rejections)
	}
	s.thenHolds(t)
}

func TestLostAppendIsSentAgainWithinTwoHeartbeats(t *testing.T) {
	s, first := givenOwner(t, 6, 3, 0)
	s.drop = func(m Message) bool { return len(m.Entries) > 0 }
	s.propose(first)
	s.runFor(testHeartbeat / 4)
	s.drop = nil
	s.runFor(2 * testHeartbeat)
	if s.checker.done != 1 {
		t.Errorf("%d commands are done", s.checker.done)
	}
	s.thenHolds(t)
}

func TestSilentFollowerIsSentNoEntries(t *testing.T) {
	s, first := givenOwner(t, 7, 3, 0)
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
	s.thenHolds(t)
}

func TestAcknowledgedCommandsOutlastALossOfPowerEverywhere(t *testing.T) {
	s, first := givenOwner(t, 8, 3, 0)
	for range 50 {
		s.propose(first)
	}
	s.runUntil(s.now+time.Second, func() bool { return s.checker.done > 0 })
	for _, n := range s.nodes {
		s.kill(n)
	}
	s.startAll()
	if !s.whenDone(time.Second) {
		t.Error("nothing is committed after the restart")
	}
	s.thenHolds(t)
}

func TestDamagedDisksAreRefused(t *testing.T) {
	snapshot := &Snapshot{Index: 4, Epoch: 2, Members: []Member{{ID: "a"}}}
	cases := []struct {
		name      string
		recovered Recovered
		refused   bool
	}{
		{name: "empty"},
		{name: "whole", recovered: diskOf(2, 1, 2)},
		{name: "a gap", recovered: Recovered{Entries: []Entry{{Index: 2}}}, refused: true},
		{name: "epochs go back", recovered: diskOf(2, 2, 1), refused: true},
		{name: "promise lost", recovered: diskOf(1, 1, 2), refused: true},
		{name: "promise lost beside a snapshot", recovered: Recovered{Snapshot: snapshot}, refused: true},
		{
			name: "entries before the snapshot",
			recovered: Recovered{
				Promise:  Promise{Epoch: 3},
				Snapshot: snapshot,
				Entries:  []Entry{{Index: 3, Epoch: 2}, {Index: 4, Epoch: 2}, {Index: 5, Epoch: 3}},
			},
		},
		{
			name: "members that cannot be read",
			recovered: Recovered{
				Promise: Promise{Epoch: 1},
				Entries: []Entry{{Index: 1, Epoch: 1, Kind: Membership, Data: json.RawMessage(`{`)}},
			},
			refused: true,
		},
	}
	options := Options{ID: "a", Heartbeat: testHeartbeat, Election: testElection}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := New(options, tc.recovered, 0)
			if refused := err != nil; refused != tc.refused {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestOptionsAreChecked(t *testing.T) {
	cases := []Options{
		{Heartbeat: testHeartbeat, Election: testElection},
		{ID: "a", Election: testElection},
		{ID: "a", Heartbeat: testHeartbeat, Election: 2 * testHeartbeat},
	}
	for _, options := range cases {
		if _, err := New(options, Recovered{}, 0); err == nil {
			t.Errorf("%+v is accepted", options)
		}
	}
}
