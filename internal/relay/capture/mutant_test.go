package capture

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutants_Corpus_FindsEach builds the module with its logic altered in small ways; the corpus must tell each from the one that made
// it, in a turn that it names, and the one unaltered not.
func TestMutants_Corpus_FindsEach(t *testing.T) {
	files, _ := filepath.Glob("testdata/*" + Ext)
	for name, c := range map[string]struct{ file, old, new string }{
		"unaltered":    {"sender.go", "", ""},
		"a threshold":  {"outlier.go", "ejectionFailures = 2\n", "ejectionFailures = 3\n"},
		"a comparison": {"outcome.go", "took >= s.lateAge(endpoint)", "took < s.lateAge(endpoint)"},
		"the decay":    {"latency_table.go", "tableHalfLife = 20 * time.Second", "tableHalfLife = 21 * time.Second"},
		"a tie-break":  {"selection.go", "cmp.Compare(a.seq, b.seq)", "cmp.Compare(b.seq, a.seq)"},
		"a time-out": {"selection.go", "timeout = min(timeout, toDuration(s.bounds[stop]))",
			"timeout = min(timeout, 2*toDuration(s.bounds[stop]))"},
		"a price": {"selection.go", "queuedCallCost    = 0.5\n", "queuedCallCost    = 0.4\n"},
		"a share": {"slots.go", "maxShareUnhealthy = 0.5\n", "maxShareUnhealthy = 0.25\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			policy, err := filepath.Abs(filepath.Join("../../../control", c.file))
			if err != nil {
				t.Fatal(err)
			}
			source, err := os.ReadFile(policy)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(source), c.old) != 1 && c.old != "" {
				t.Fatalf("%q does not stand in %s once", c.old, c.file)
			}
			dir := t.TempDir()
			program, mutant, overlay := filepath.Join(dir, "replayer"), filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
			_ = os.WriteFile(mutant, []byte(strings.Replace(string(source), c.old, c.new, 1)), 0o600)
			text, _ := json.Marshal(map[string]any{"Replace": map[string]string{policy: mutant}})
			_ = os.WriteFile(overlay, text, 0o600)
			if out, buildErr := exec.Command("go", "build", "-overlay", overlay, "-o", program, "./testdata/replayer").CombinedOutput(); buildErr != nil {
				t.Fatalf("%v\n%s", buildErr, out)
			}
			out, err := exec.Command(program, files...).CombinedOutput()
			if err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			same, differs := strings.Count(string(out), ": <nil>\n"), strings.Count(string(out), ": capture: turn ")
			if same+differs != len(files) || (differs == 0) != (c.old == "") {
				t.Errorf("%d captures replay, %d differ\n%s", same, differs, out)
			}
		})
	}
}
