package policy

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// terms are the terms of the relay in the tests.
var terms = &Terms{Relays: []string{"a", "b"}, Classes: []string{"event"}, MaxAttempts: 6, Tenants: []string{"desk"},
	Plugins: map[string]string{"x": strings.Repeat("ab", 32)}}

// TestDocument_EachKey_IsAppliedOrRejected: a document is valid for a relay, or the error has the key and the reason.
func TestDocument_EachKey_IsAppliedOrRejected(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{`{"format":1}`, ""},
		{`{"format":1,"classes":{"event":{"worth":2,"attempts":6}},"tenants":{"desk":{"quota_per_s":1}},"partners":{"7":{"shut":true}},"accept":["a"]}`, ""},
		{`{`, "(whole file)"}, {`{}`, "format: missing"}, {`{"format":2}`, "format: 2 is not known"},
		{`{"format":1,"colour":1}`, `unknown field "colour"`}, {`{"format":1,"stamp":"yes"}`, "stamp: want bool"},
		{`{"format":1,"classes":{"event":{"worth":-1}}}`, "classes.event.worth"},
		{`{"format":1,"classes":{"event":{"attempts":7}}}`, "classes.event.attempts: 7, and the settings allow 6"},
		{`{"format":1,"classes":{"other":{}}}`, "classes.other: no class"},
		{`{"format":1,"tenants":{"x":{"quota_per_s":1}}}`, "tenants.x: no tenant"},
		{`{"format":1,"tenants":{"desk":{"quota_per_s":-1}}}`, "tenants.desk.quota_per_s"},
		{`{"format":1,"partners":{"07":{}}}`, "partners.07"}, {`{"format":1,"accept":["c"]}`, `accept.0: no relay is called "c"`},
		{`{"format":1,"partners":{"7":{"limit_per_s":12.5}},"plugins":{"x":{"settings":{"a":1}}}}`, ""},
		{`{"format":1,"partners":{"7":{"limit_per_s":-1}}}`, "partners.7.limit_per_s"},
		{`{"format":1,"partners":{"7":{"limit_per_s":0.001}}}`, "partners.7.limit_per_s"},
		{`{"format":1,"plugins":{"x":{}}}`, "plugins.x: want sha256, settings or both"},
		{`{"format":1,"plugins":{"x":{"colour":1}}}`, `unknown field "colour"`},
		{`{"format":1,"plugins":{"y":{"settings":1}}}`, "plugins.y: no plug-in"},
		{`{"format":1,"plugins":{"x":{"sha256":"` + strings.Repeat("cd", 32) + `","settings":1}}}`, "plugins.x: another module"},
		{`{"format":1,"plugins":{"x":"12"}}`, "plugins.x: want a SHA-256"},
		{`{"format":1,"plugins":{"x":"` + strings.Repeat("cd", 32) + `"}}`, "plugins.x: another module"},
		{`{"format":1,"plugins":{"y":"` + strings.Repeat("cd", 32) + `"}}`, "plugins.y: no plug-in"},
		{`{"format":1,"accept":["` + strings.Repeat("a", MaxDocumentBytes) + `"]}`, "bytes, want"},
	} {
		document, err := Parse([]byte(test.text))
		if err == nil {
			err = document.CheckTerms(terms)
		}
		if got := fmt.Sprint(err); test.want == "" && err != nil || test.want != "" && !strings.Contains(got, test.want) {
			t.Errorf("%.80s: %s, want %q", test.text, got, test.want)
		}
	}
}

// TestDiff_TwoDocuments_ListsChangedKeys: each different key has a line.
func TestDiff_TwoDocuments_ListsChangedKeys(t *testing.T) {
	got, err := Diff([]byte(`{"format":1,"stamp":true,"classes":{"event":{"worth":2}}}`),
		[]byte(`{"format":1,"classes":{"event":{"worth":3}},"accept":["a"]}`))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{`+ accept ["a"]`, "~ classes.event.worth 2 -> 3", "- stamp true"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestState_AnyCommands_DecidedChangeIsNeverUndone: for any commands in any order, the version never decreases, a decided change stays
// decided until it takes effect, and the number of remembered changes is bounded.
func TestState_AnyCommands_DecidedChangeIsNeverUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := &State{Epoch: 1}
		decided := map[uint64]bool{}
		for i := range uint64(rapid.IntRange(1, 200).Draw(t, "commands")) {
			command := &Command{Kind: CommandKind(rapid.IntRange(1, 7).Draw(t, "kind")), Version: rapid.Uint64Range(0,
				state.LastVersion+1).Draw(t, "version"), Doc: []byte{byte(i)}, Ticket: rapid.Uint64Range(0, 9).Draw(t, "ticket")}
			if rapid.Bool().Draw(t, "drop") {
				command.DropReason = "no"
			}
			before := state.Clone()
			state = state.Clone()
			state.Apply(i+1, command)
			if before.Halted() && !state.Halted() && state.Version != before.Change.Version {
				t.Fatalf("decided version %d was undone, and %d is in force", before.Change.Version, state.Version)
			}
			if state.Halted() {
				decided[state.Change.Version] = true
			}
			if state.Version < before.Version || state.Version != before.Version && !decided[state.Version] {
				t.Fatalf("version %d is in force after %d, but was not decided", state.Version, before.Version)
			}
			if len(state.PastChanges) > maxPastChanges {
				t.Fatalf("%d past changes are remembered, want at most maxPastChanges", len(state.PastChanges))
			}
			if repeated := state.Clone(); state.Change != nil && command.Kind == Propose && command.Ticket != 0 {
				repeated.Apply(i+1, command)
				if diff := cmp.Diff(state, repeated); diff != "" && state.Change.Ticket == command.Ticket {
					t.Fatal("a duplicate proposal changed the state", diff)
				}
			}
		}
	})
}
