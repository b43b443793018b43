package group

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/replica"
)

// Given any message, then AppendJSON writes JSON that decodes to the same message as that of encoding/json.
func TestEnvelope_AppendJSON_MatchesEncodingJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String()
		data := func(label string) json.RawMessage {
			encoded, _ := json.Marshal(text.Draw(t, label))
			return encoded
		}
		message := replica.Message{Kind: replica.AppendEntries, From: text.Draw(t, "from"), To: text.Draw(t, "to"), Term: rapid.Uint64().Draw(t, "term"),
			Index: rapid.Uint64().Draw(t, "index"), Reject: rapid.Bool().Draw(t, "rejected"), Address: text.Draw(t, "address")}
		for i := range rapid.Uint64Max(3).Draw(t, "entries") {
			entry := replica.Entry{Index: i, Term: rapid.Uint64().Draw(t, "entry term"), Kind: replica.EntryKind(rapid.Uint8Max(2).Draw(t, "kind"))}
			if rapid.Bool().Draw(t, "data") {
				entry.Data = data("entry")
			}
			message.Entries = append(message.Entries, entry)
		}
		if rapid.Bool().Draw(t, "snapshot") {
			message.Snapshot = &replica.Snapshot{Index: rapid.Uint64().Draw(t, "snapshot index"), Members: []replica.Member{{ID: text.Draw(t, "member")}}, Chunks: 2}
			if rapid.Bool().Draw(t, "state") {
				message.Snapshot.State = data("state")
			}
		}
		envelope := Envelope{Group: text.Draw(t, "group"), Message: message}
		written, err := envelope.AppendJSON(nil)
		if err != nil {
			t.Fatal(err)
		}
		var got, want Envelope
		library, err := json.Marshal(envelope)
		if err != nil || json.Unmarshal(library, &want) != nil || json.Unmarshal(written, &got) != nil {
			t.Fatalf("%s, %v", written, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Given any proposal, then parseProposal reads it from the form that appendProposal writes and from any other JSON form.
func TestProposal_AnyForm_IsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		command, _ := json.Marshal(rapid.SampledFrom([]any{nil, 1, "}", `"c":`, map[string]any{"c": 1, "t": "x"}, []int{2}}).Draw(t, "command"))
		want := proposal{Origin: rapid.StringMatching(`[0-9a-z@\-"\\]*`).Draw(t, "origin"), Token: rapid.Uint64().Draw(t, "token"), Command: command}
		library, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		for _, data := range []json.RawMessage{appendProposal(nil, &want), library, append([]byte(" "), library...)} {
			got, err := parseProposal(data)
			if err != nil {
				t.Fatalf("%s: %v", data, err)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("%s: %s", data, diff)
			}
		}
	})
	for _, data := range []string{``, `{"o":"a","t":1`, `{"o":"a","t":1,"c":}`, `{"o":"a","t":x,"c":1}`} {
		if _, err := parseProposal(json.RawMessage(data)); err == nil {
			t.Errorf("%q was parsed without an error", data)
		}
	}
}
