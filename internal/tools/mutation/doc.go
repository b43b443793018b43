// Package mutation runs mutation tests: it checks that a package's tests detect deliberate faults in its source. A mutant is a
// small change of the source. The package is built with the changed file in place of the original (`go test -overlay`), so that
// no mutant is ever written into the repository. The package's tests must then fail. A package lists its mutants in a test:
//
//	func TestMutantsAreNoticed(t *testing.T) {
//		mutation.Test(t, []mutation.Mutant{{
//			Name:   "messages of older terms are accepted",
//			Change: mutation.Change{File: "follower.go", Old: "if message.Term < r.hardState.Term {", New: "if false {"},
//			Run:    "TestCampaigns_RandomFaults_StaySafeAndRecover",
//		}})
//	}
//
// A trial builds one mutant and runs its tests up to the first failure. Its error is nil for a mutant that a test killed, or
// one of OutdatedError, BuildError, SurvivorError and UndecidedError. Trials of a package run in parallel, each in a scratch
// folder of its own.
//
// Only tests import this package.
package mutation
