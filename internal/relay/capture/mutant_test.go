package capture

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutants builds the module with its logic altered in small ways; the corpus must tell each from the one that made
// it, in a turn that it names, and the one unaltered not.
func TestMutants(t *testing.T) {
	policy, err := filepath.Abs("../../../control/control.go")
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile(policy)
	if err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob("testdata/*" + Ext)
	for name, c := range map[string][2]string{
		"unaltered":    {"", ""},
		"a threshold":  {"tripStreak  = 2 ", "tripStreak  = 3 "},
		"a comparison": {"took >= s.overrunAt(e)", "took < s.overrunAt(e)"},
		"the decay":    {"halfLife    = 20 * time.Second", "halfLife    = 21 * time.Second"},
		"a tie-break":  {"cmp.Compare(a.seq, b.seq)", "cmp.Compare(b.seq, a.seq)"},
		"a time-out":   {"last = min(last, seconds(s.edges[stop]))", "last = min(last, 2*seconds(s.edges[stop]))"},
		"a price":      {"queueCharge = 0.5 ", "queueCharge = 0.4 "},
		"a share":      {"capSick     = 0.5 ", "capSick     = 0.25"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if strings.Count(string(source), c[0]) != 1 && c[0] != "" {
				t.Fatalf("%q does not stand in the module once", c[0])
			}
			dir := t.TempDir()
			program, mutant, overlay := filepath.Join(dir, "replayer"), filepath.Join(dir, "control.go"), filepath.Join(dir, "overlay.json")
			_ = os.WriteFile(mutant, []byte(strings.Replace(string(source), c[0], c[1], 1)), 0o600)
			text, _ := json.Marshal(map[string]any{"Replace": map[string]string{policy: mutant}})
			_ = os.WriteFile(overlay, text, 0o600)
			if out, err := exec.Command("go", "build", "-overlay", overlay, "-o", program, "./testdata/replayer").CombinedOutput(); err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			out, err := exec.Command(program, files...).CombinedOutput()
			if err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			same, differs := strings.Count(string(out), ": <nil>\n"), strings.Count(string(out), ": capture: turn ")
			if same+differs != len(files) || (differs == 0) != (c[0] == "") {
				t.Errorf("%d captures replay, %d differ\n%s", same, differs, out)
			}
		})
	}
}
