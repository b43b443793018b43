package simulation

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var mutantsFlag = flag.Bool("mutants", false, "check that the scenarios catch deliberate mistakes in the code")

// sourceMutant is a deliberate mistake: a source file's text that is replaced, and the tests of which one must fail then.
type sourceMutant struct {
	name string
	file string // from this package's folder
	old  string
	new  string
	run  string
}

var mutants = []sourceMutant{
	{"a minority decides", "../replica/configuration.go", "return c.voters/2 + 1", "return max(1, c.voters/2)", "TestLeader_Partitioned"},
	{"few duplicates are known", "../configuration/history.go", "const maxHistory = 32768", "const maxHistory = 16", "TestOrder_SentAgain"},
	{"two orders win on one version", "../configuration/state_machine.go", "if proposal.Base != s.current.Number {", "if proposal.Base > s.current.Number {",
		"TestOrders_TwoOfOneNumber|TestLaggingController"},
	{"entries are acknowledged before they last", "../storage/group.go", "if err := g.log.Sync(); err != nil {", "if err := error(nil); err != nil {",
		"TestLaggingController|TestRandomDays"},
	{"a new member's snapshot isn't taken over", "../group/iteration.go", "if err := g.restore(g.disk, true); err != nil {",
		"if err := error(nil); err != nil {", "TestLaggingController"},
	{"there are too few copies", "../controller/controller.go", "return 2*c.options.Settings.FaultTolerance.Machines + 1",
		"return c.options.Settings.FaultTolerance.Machines + 1", "TestReplacement_NextLoss"},
	{"all requests may be retried", "../proxy/retries.go", "return route.Kind == model.Retryable || route.Kind == model.Streaming && route.Resumable",
		"return true", "TestAtMostOnceRequests"},
}

// TestMutants runs the scenarios on each mistake, which one of them must catch.
func TestMutants(t *testing.T) {
	if !*mutantsFlag {
		return // some minutes: on demand only
	}
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			output, err := mutant.test(t)
			if err == nil || !strings.Contains(output, "FAIL") {
				t.Errorf("not caught: %v\n%s", err, output)
			}
			if strings.Contains(output, "[build failed]") {
				t.Errorf("doesn't build:\n%s", output)
			}
			for line := range strings.Lines(output) {
				if strings.Contains(line, "_test.go:") {
					t.Logf("caught: %.200s", strings.TrimSpace(line))
					break
				}
			}
		})
	}
}

// TestMutants_OldTexts_StandOnceInTheSource keeps a rename from leaving a mistake behind that only the long run would miss.
func TestMutants_OldTexts_StandOnceInTheSource(t *testing.T) {
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) { mutant.read(t) })
	}
}

// read returns the file that the mistake changes, which must hold the old text once.
func (m sourceMutant) read(t *testing.T) (path, source string) {
	t.Helper()
	path, err := filepath.Abs(m.file)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(data), m.old) != 1 {
		t.Fatalf("%s doesn't hold the text once", m.file)
	}
	return path, string(data)
}

// test runs the tests on a copy of the source that holds the mistake.
func (m sourceMutant) test(t *testing.T) (output string, err error) {
	t.Helper()
	path, source := m.read(t)
	changed := filepath.Join(t.TempDir(), "changed.go")
	overlay := filepath.Join(t.TempDir(), "overlay.json")
	replaced, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		t.Fatal(err)
	}
	write(t, changed, strings.Replace(source, m.old, m.new, 1))
	write(t, overlay, string(replaced))
	text, err := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-timeout=300s", "-overlay="+overlay, "-run="+m.run, ".",
		"-args", "-days", "10").CombinedOutput()
	return string(text), err
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
