package group

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/replica"
)

// formatEnvelopes contain each kind of message and of entry, and together set every field.
var formatEnvelopes = []Envelope{
	{Group: "g", Message: replica.Message{Kind: replica.RequestVote, From: "a", To: "b", Term: 3, PreVote: true, Index: 7, LogTerm: 2,
		Address: "a:1", LeadershipTransfer: true}},
	{Group: "g", Message: replica.Message{Kind: replica.RequestVoteResponse, From: "b", To: "a", Term: 3, PreVote: true, Reject: true, Address: "b:1"}},
	{Group: "g", Message: replica.Message{Kind: replica.AppendEntries, From: "a", To: "b", Term: 3, Index: 7, LogTerm: 2, Commit: 6, ReadContext: 9,
		Address: "a:1", LeadershipTransfer: true, Entries: []replica.Entry{
			{Index: 8, Term: 3, Kind: replica.NoOp},
			{Index: 9, Term: 3, Kind: replica.Command, Data: json.RawMessage(`{"o":"a@1","t":4,"c":{"x":1}}`)},
			{Index: 10, Term: 3, Kind: replica.ConfChange, Data: json.RawMessage(`[{"id":"a","address":"a:1"},{"id":"c","address":"c:1","learner":true}]`)},
		}}},
	{Group: "g", Message: replica.Message{Kind: replica.AppendEntriesResponse, From: "b", To: "a", Term: 3, Index: 10, LogTerm: 2, Reject: true,
		RejectHint: 5, ReadContext: 9, Address: "b:1"}},
	{Group: "g", Message: replica.Message{Kind: replica.InstallSnapshot, From: "a", To: "b", Term: 3, Chunk: 1, Address: "a:1",
		Snapshot: &replica.Snapshot{Index: 6, Term: 2, Members: []replica.Member{{ID: "a", Address: "a:1"},
			{ID: "c", Address: "c:1", Learner: true}}, Chunks: 2, State: json.RawMessage(`{"s":[1,2]}`)}}},
	{Group: "g", Message: replica.Message{Kind: replica.InstallSnapshotResponse, From: "b", To: "a", Term: 3, Index: 6, Chunk: 1, Reject: true, Address: "b:1"}},
}

// formatProposal is a command as it is stored in a log entry.
var formatProposal = proposal{Origin: "a@1f", Token: 4, Command: json.RawMessage(`{"x":1}`)}

// Members of earlier versions send and receive exactly the bytes in the testdata file, so a changed format would break rolling
// upgrades.
func TestWireFormat_ReadsMessagesOfEarlierVersions(t *testing.T) {
	t.Parallel()
	golden, err := os.ReadFile(filepath.Join("testdata", "format", "envelopes.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSuffix(golden, []byte("\n")), []byte("\n"))
	if len(lines) != len(formatEnvelopes) {
		t.Fatalf("envelopes.jsonl holds %d envelopes, want %d", len(lines), len(formatEnvelopes))
	}
	for i, want := range formatEnvelopes {
		t.Run(string(want.Message.Kind), func(t *testing.T) {
			t.Parallel()
			var got Envelope
			decoder := json.NewDecoder(bytes.NewReader(lines[i]))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&got); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("envelope (-want +got):\n%s", diff)
			}
			written, err := want.AppendJSON(nil)
			if err != nil || !bytes.Equal(written, lines[i]) {
				t.Errorf("written as %s, %v, want %s", written, err, lines[i])
			}
		})
	}
}

// Entries in existing logs hold exactly the bytes in the testdata file.
func TestStoredFormat_ReadsProposalsOfEarlierVersions(t *testing.T) {
	t.Parallel()
	golden, err := os.ReadFile(filepath.Join("testdata", "format", "proposal.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden = bytes.TrimSuffix(golden, []byte("\n"))
	for name, data := range map[string][]byte{"as_written": golden, "in_any_other_form": append([]byte(" "), golden...)} {
		got, err := parseProposal(data)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if diff := cmp.Diff(formatProposal, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	if written := appendProposal(nil, &formatProposal); !bytes.Equal(written, golden) {
		t.Errorf("written as %s, want %s", written, golden)
	}
	if written, err := json.Marshal(formatProposal); err != nil || !bytes.Equal(written, golden) {
		t.Errorf("marshaled as %s, %v, want %s", written, err, golden)
	}
}
