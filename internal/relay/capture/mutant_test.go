package capture

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestMutants_Corpus_FindsEach builds mutants of the decision module, each with one small change of its logic. For each mutant at least
// one capture of the corpus must replay differently, in a turn that the error names; for the unaltered module none may.
func TestMutants_Corpus_FindsEach(t *testing.T) {
	files, _ := filepath.Glob("testdata/*" + Ext)
	for name, mutation := range map[string]struct{ file, old, new string }{
		"unaltered":    {"sender.go", "", ""},
		"a threshold":  {"outlier.go", "ejectionFailures = 2\n", "ejectionFailures = 3\n"},
		"a comparison": {"outcome.go", "took >= s.lateAge(endpoint)", "took < s.lateAge(endpoint)"},
		"the decay":    {"latency_table.go", "tableHalfLife = 20 * time.Second", "tableHalfLife = 21 * time.Second"},
		"a tie-break":  {"selection.go", "cmp.Compare(a.seq, b.seq)", "cmp.Compare(b.seq, a.seq)"},
		"a timeout": {"selection.go", "timeout = min(timeout, toDuration(s.bounds[stop]))",
			"timeout = min(timeout, 2*toDuration(s.bounds[stop]))"},
		"a price": {"selection.go", "inFlightCostFactor  = 0.5\n", "inFlightCostFactor  = 0.4\n"},
		"a share": {"slots.go", "maxShareUnhealthy = 0.5\n", "maxShareUnhealthy = 0.25\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, err := exec.Command(buildReplayer(t, mutation.file, mutation.old, mutation.new), files...).CombinedOutput()
			if err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			same, differ := strings.Count(string(out), ": <nil>\n"), strings.Count(string(out), ": capture: turn ")
			if same+differ != len(files) || (differ == 0) != (mutation.old == "") {
				t.Errorf("%d captures replay the same, %d differ\n%s", same, differ, out)
			}
		})
	}
}

// buildReplayer builds testdata/replayer with one of the module's files changed: before, which must occur once there or be empty, is
// replaced by after.
func buildReplayer(t *testing.T, file, before, after string) (program string) {
	t.Helper()
	original, err := filepath.Abs(filepath.Join("../../../control", file))
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile(original)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(source), before) != 1 && before != "" {
		t.Fatalf("%q does not occur exactly once in %s", before, file)
	}
	dir := t.TempDir()
	mutant, overlay := filepath.Join(dir, "mutant.go"), filepath.Join(dir, "overlay.json")
	if err = os.WriteFile(mutant, []byte(strings.Replace(string(source), before, after, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(map[string]any{"Replace": map[string]string{original: mutant}})
	if err == nil {
		err = os.WriteFile(overlay, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	program = filepath.Join(dir, "replayer")
	if out, err := exec.Command("go", "build", "-overlay", overlay, "-o", program, "./testdata/replayer").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}
