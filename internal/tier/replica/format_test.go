package replica

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// formatValues holds a value with all fields set for each type that is stored or sent, by the name of its golden file.
var formatValues = map[string]any{
	"hard_state": HardState{Term: 3, Vote: "a"},
	"member":     Member{ID: "a", Address: "a:1", Learner: true},
	"entry":      Entry{Index: 9, Term: 3, Kind: ConfChange, Data: json.RawMessage(`[{"id":"a","address":"a:1"}]`)},
	"entry_id":   EntryID{Index: 6, Term: 2},
	"snapshot": Snapshot{Index: 6, Term: 2, Members: []Member{{ID: "a", Address: "a:1", Learner: true}}, Chunks: 2,
		State: json.RawMessage(`{"s":1}`)},
	"message": Message{Kind: AppendEntries, From: "a", To: "b", Term: 3, PreVote: true, Index: 7, LogTerm: 2, Commit: 6,
		Entries: []Entry{{Index: 8, Term: 3, Kind: NoOp}}, Reject: true, RejectHint: 5, ExcludedAt: &EntryID{Index: 6, Term: 2}, ReadContext: 9,
		Snapshot: &Snapshot{Index: 6, Term: 2, Members: []Member{{ID: "a"}}, Chunks: 2}, Chunk: 1, Address: "a:1", LeadershipTransfer: true},
}

// Earlier versions have stored data in this format, and may send it.
func TestStoredFormat_ReadsValuesOfEarlierVersions(t *testing.T) {
	t.Parallel()
	for name, want := range formatValues {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			golden, err := os.ReadFile(filepath.Join("testdata", "format", name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			golden = bytes.TrimSuffix(golden, []byte("\n"))
			value := reflect.ValueOf(want)
			for i := range value.NumField() {
				if value.Field(i).IsZero() {
					t.Errorf("field %s is not set", value.Type().Field(i).Name)
				}
			}
			got := reflect.New(value.Type())
			decoder := json.NewDecoder(bytes.NewReader(golden))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(got.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got.Elem().Interface()); diff != "" {
				t.Errorf("value (-want +got):\n%s", diff)
			}
			if written, err := json.Marshal(want); err != nil || !bytes.Equal(written, golden) {
				t.Errorf("written as %s, %v, want %s", written, err, golden)
			}
		})
	}
}

// Versions without the field ExcludedAt send messages without it.
func TestStoredFormat_MessageWithoutExclusion_IsRead(t *testing.T) {
	t.Parallel()
	golden, err := os.ReadFile(filepath.Join("testdata", "format", "message_without_exclusion.json"))
	if err != nil {
		t.Fatal(err)
	}
	var got Message
	if err := json.Unmarshal(golden, &got); err != nil {
		t.Fatal(err)
	}
	want := formatValues["message"].(Message)
	want.ExcludedAt = nil
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("value (-want +got):\n%s", diff)
	}
}

// The values of the kinds are stored and sent.
func TestStoredFormat_KindsKeepTheirValues(t *testing.T) {
	t.Parallel()
	messages := []MessageKind{RequestVote, RequestVoteResponse, AppendEntries, AppendEntriesResponse, InstallSnapshot, InstallSnapshotResponse}
	if diff := cmp.Diff([]MessageKind{"ask_vote", "answer_vote", "append", "answer_append", "install_snapshot", "answer_snapshot"}, messages); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]EntryKind{0, 1, 2}, []EntryKind{Command, NoOp, ConfChange}); diff != "" {
		t.Error(diff)
	}
}
