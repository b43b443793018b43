package policy

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var terms = &Terms{Relays: []string{"a", "b"}, Classes: []string{"event"}, MaxAttempts: 6, Tenants: []string{"desk"},
	Plugins: map[string]string{"x": strings.Repeat("ab", 32)}}

func TestDocument(t *testing.T) {
	for _, c := range []struct{ text, want string }{
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
		d, err := Parse([]byte(c.text))
		if err == nil {
			err = d.Applies(terms)
		}
		if got := fmt.Sprint(err); c.want == "" && err != nil || c.want != "" && !strings.Contains(got, c.want) {
			t.Errorf("%.80s: %s, want %q", c.text, got, c.want)
		}
	}
}

func TestDiff(t *testing.T) {
	got, err := Diff([]byte(`{"format":1,"stamp":true,"classes":{"event":{"worth":2}}}`), []byte(`{"format":1,"classes":{"event":{"worth":3}},"accept":["a"]}`))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{`+ accept ["a"]`, "~ classes.event.worth 2 -> 3", "- stamp true"}, got); diff != "" {
		t.Error(diff)
	}
}

// TestState: whatever commands come in whatever order, a version only ever gets further, what was decided comes into force or
// stays decided, and all that is kept is bounded.
func TestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{Epoch: 1}
		decided := map[uint64]bool{}
		for i := range uint64(rapid.IntRange(1, 200).Draw(t, "commands")) {
			c := &Command{Kind: CommandKind(rapid.IntRange(1, 7).Draw(t, "kind")), Version: rapid.Uint64Range(0, s.LastVersion+1).Draw(t, "version"),
				Doc: []byte{byte(i)}, Ticket: rapid.Uint64Range(0, 9).Draw(t, "ticket")}
			if rapid.Bool().Draw(t, "drop") {
				c.DropReason = "no"
			}
			was := s.Clone()
			s = s.Clone()
			s.Apply(i+1, c)
			if was.Halted() && !s.Halted() && s.Version != was.Change.Version {
				t.Fatalf("what was decided, %d, is gone, and %d is in force", was.Change.Version, s.Version)
			}
			if s.Halted() {
				decided[s.Change.Version] = true
			}
			if s.Version < was.Version || s.Version != was.Version && !decided[s.Version] {
				t.Fatalf("version %d is in force after %d, and was not decided", s.Version, was.Version)
			}
			if len(s.PastChanges) > maxPastChanges {
				t.Fatalf("%d ends are kept", len(s.PastChanges))
			}
			if again := s.Clone(); s.Change != nil && c.Kind == Propose && c.Ticket != 0 {
				again.Apply(i+1, c)
				if diff := cmp.Diff(s, again); diff != "" && s.Change.Ticket == c.Ticket {
					t.Fatal("a proposal that is handed in twice counts twice", diff)
				}
			}
		}
	})
}
