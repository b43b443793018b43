// Package mutation tries deliberate mistakes on a package's tests. A mutant is a small change of its source; the package is
// built with that change laid over the file (`go test -overlay`), so that no mistake lives in what ships, and its tests must
// fail. A package lists its mutants in a test:
//
//	func TestMutantsAreCaught(t *testing.T) {
//		mutation.Test(t, []mutation.Mutant{{
//			Name:   "older epochs are obeyed",
//			Change: mutation.Change{File: "follower.go", Old: "if message.Term < r.hardState.Term {", New: "if false {"},
//			Run:    "TestCampaigns_RandomFaults_StaySafeAndRecover",
//		}})
//	}
//
// It is test support: only tests import it.
package mutation

import (
	"flag"
	"os"
	"testing"
	"time"
)

// Bounds of a trial.
const (
	buildTimeout = 5 * time.Minute
	testTimeout  = 2 * time.Minute
	atOnce       = 2 // trials of a package
)

// trialVariable is set in the environment of a trial, which tries no mutants of its own.
const trialVariable = "MUTATION_TRIAL"

var everyMutant = flag.Bool("mutants", false, "try every mutant, not only those that are always tried")

// Change replaces a text of a source file.
type Change struct {
	File string // relative to the folder of the package under test
	Old  string // occurs once in the file
	New  string
}

// Mutant is a deliberate mistake that tests must notice.
type Mutant struct {
	Name   string   // what is wrong with it; distinct within a table
	Change          // in most cases all of it
	Also   []Change // what the mistake needs beyond that, in the same or in other files
	Run    string   // pattern of the tests that must notice it, as for `go test -run`
	Always bool     // tried by each run of the tests; the others only with the flag -mutants
}

func (m Mutant) changes() []Change {
	return append([]Change{m.Change}, m.Also...)
}

// Test tries the mutants on the package whose tests are running, and fails for each that its tests don't notice, that doesn't
// compile, or whose old text isn't there once. The last is checked of every mutant, whether it is tried or not.
func Test(t *testing.T, mutants []Mutant) {
	t.Helper()
	if os.Getenv(trialVariable) != "" {
		return
	}
	const folder = "." // where the tests of a package run
	slots := make(chan struct{}, atOnce)
	names := make(map[string]bool, len(mutants))
	tried := 0
	for _, mutant := range mutants {
		if names[mutant.Name] {
			t.Errorf("two mutants are named %q", mutant.Name)
		}
		names[mutant.Name] = true
		if !mutant.Always && !*everyMutant {
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
			began := time.Now()
			noticed, err := try(t.Context(), folder, t.TempDir(), mutant)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("noticed after %.1f s by %s", time.Since(began).Seconds(), noticed)
		})
	}
	t.Logf("%d of %d mutants are tried", tried, len(mutants))
}
