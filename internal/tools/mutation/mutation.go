package mutation

import (
	"flag"
	"os"
	"testing"
	"time"
)

// Limits of the trials. More parallel trials would end sooner, but slow down other tests on the machine.
const (
	buildTimeout      = 5 * time.Minute
	testTimeout       = 2 * time.Minute
	maxParallelTrials = 2 // of one package
)

// trialVariable is set in the environment of a trial, in which Test must not start further trials.
const trialVariable = "MUTATION_TRIAL"

var runAllMutants = flag.Bool("mutants", false, "try every mutant, not only those marked Always")

// Change replaces a text of a source file.
type Change struct {
	File string // relative to the folder of the package under test
	Old  string // occurs once in the file
	New  string
}

// Mutant is a deliberate fault that tests must detect.
type Mutant struct {
	Name   string   // the fault in words; unique within a table
	Change          // the first change, and the only one of most mutants
	Also   []Change // further changes, in the same or in other files; made in this order
	Run    string   // pattern of the tests that must detect the mutant, as for `go test -run`
	Args   []string // flags that these tests define themselves
	Always bool     // tried in each run of the tests; other mutants are tried only with the flag -mutants
}

func (m Mutant) changes() []Change {
	return append([]Change{m.Change}, m.Also...)
}

// Test tries the mutants on the package whose tests are running. It fails for each mutant that survives, that doesn't compile,
// whose tests give no verdict, or whose old text doesn't occur exactly once. The old texts are checked for every mutant, even if it is
// not tried. Two mutants must not have the same name.
func Test(t *testing.T, mutants []Mutant) {
	t.Helper()
	if os.Getenv(trialVariable) != "" {
		return
	}
	const folder = "." // go test runs the tests of a package in its folder
	slots := make(chan struct{}, maxParallelTrials)
	names := make(map[string]bool, len(mutants))
	tried := 0
	for _, mutant := range mutants {
		if names[mutant.Name] {
			t.Errorf("two mutants are named %q", mutant.Name)
		}
		names[mutant.Name] = true
		if !mutant.Always && !*runAllMutants {
			if _, err := mutate(folder, mutant.changes()); err != nil {
				t.Errorf("%s: %v", mutant.Name, err)
			}
			continue
		}
		tried++
		t.Run(mutant.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			start := time.Now()
			killedBy, err := runTrial(t.Context(), folder, t.TempDir(), mutant)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("killed after %.1f s by %s", time.Since(start).Seconds(), killedBy)
		})
	}
	t.Logf("trying %d of %d mutants", tried, len(mutants))
}
