package replica

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// newTestFollower returns "b" as a follower in the given term, whose log has entries of the given terms.
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

// appendEntriesCase is an append to a follower whose log has entries of the given terms, with the expected results. The test
// fills in the kind, sender and receiver of the messages.
type appendEntriesCase struct {
	name     string
	log      []uint64
	message  Message
	want     Message
	truncate uint64
	append   int
	commit   uint64
}

func noOp(index, term uint64) Entry { return Entry{Index: index, Term: term, Kind: NoOp} }

var appendEntriesCases = []appendEntriesCase{
	{
		name:    "new entries",
		log:     []uint64{1, 1},
		message: Message{Term: 2, Index: 2, LogTerm: 1, Entries: []Entry{noOp(3, 2), noOp(4, 2)}, Commit: 3},
		want:    Message{Index: 4},
		append:  2,
		commit:  3,
	},
	{
		name:     "conflicting entries",
		log:      []uint64{1, 1, 1, 1},
		message:  Message{Term: 2, Index: 2, LogTerm: 1, Entries: []Entry{noOp(3, 2)}},
		want:     Message{Index: 3},
		truncate: 3,
		append:   1,
	},
	{
		name:    "matching entries keep the later ones",
		log:     []uint64{1, 1, 1, 1},
		message: Message{Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{noOp(2, 1)}, Commit: 4},
		want:    Message{Index: 2},
		commit:  2,
	},
	{
		name:    "a gap",
		log:     []uint64{1, 1},
		message: Message{Term: 2, Index: 9, LogTerm: 2, Entries: []Entry{noOp(10, 2)}},
		want:    Message{Index: 9, Reject: true, RejectHint: 2, LogTerm: 1},
	},
	{
		name:    "a conflicting previous entry",
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

func TestFollower_AppendEntries_AppendsReplacesOrRejects(t *testing.T) {
	for _, tc := range appendEntriesCases {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestFollower(t, 2, tc.log...)
			tc.message.Kind, tc.message.From, tc.message.To = AppendEntries, "a", "b"
			tc.want.Kind, tc.want.From, tc.want.To, tc.want.Term = AppendEntriesResponse, "b", "a", tc.message.Term
			ready := r.Step(0, Input{Messages: []Message{tc.message}})
			if difference := cmp.Diff([]Message{tc.want}, ready.MessagesAfterSync); difference != "" {
				t.Errorf("response (-want +got):\n%s", difference)
			}
			if len(ready.MessagesBeforeSync) != 0 {
				t.Errorf("messages before the sync %+v, want none", ready.MessagesBeforeSync)
			}
			if ready.TruncateFrom != tc.truncate || len(ready.Entries) != tc.append || r.Status().Commit != tc.commit {
				t.Errorf("wrong result: truncated from %d, %d entries appended, commit index %d", ready.TruncateFrom, len(ready.Entries), r.Status().Commit)
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
		t.Errorf("response (-want +got):\n%s", difference)
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
		t.Errorf("%d entries, responses (-want +got):\n%s", len(ready.Entries), difference)
	}
}

func TestReplica_MessageForAnotherIdentity_IsDropped(t *testing.T) {
	r := newTestFollower(t, 1, 1)
	message := Message{Kind: AppendEntries, From: "a", To: "earlier", Term: 9, Index: 1, LogTerm: 1}
	ready := r.Step(0, Input{Messages: []Message{message}})
	if len(ready.MessagesAfterSync) != 0 || ready.HardState != nil {
		t.Errorf("a message for another identity has an effect: %+v", ready)
	}
}

func TestRaftLog_EntriesOfReady_AreNeverChanged(t *testing.T) {
	r := newTestFollower(t, 1, 1)
	first := []Entry{{Index: 2, Term: 1, Data: json.RawMessage(`"old"`)}, {Index: 3, Term: 1}}
	ready := r.Step(0, Input{Messages: []Message{{
		Kind: AppendEntries, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Entries: first,
	}}})
	returned := ready.Entries
	before := slices.Clone(returned)
	r.Step(0, Input{Messages: []Message{{
		Kind: AppendEntries, From: "c", To: "b", Term: 2, Index: 1, LogTerm: 1,
		Entries: []Entry{{Index: 2, Term: 2, Data: json.RawMessage(`"new"`)}, {Index: 3, Term: 2}},
	}}})
	if difference := cmp.Diff(before, returned); difference != "" {
		t.Errorf("entries that an earlier Step returned (-before +after):\n%s", difference)
	}
}
