package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// verdict says whether the check passes, with one sentence for each finding.
type verdict struct {
	Failures []string // the check fails if there is any
	Notices  []string
}

// judge compares the results of the packages with the list. Findings come in this order: failed tests, packages, listed tests
// that passed or did not run.
func judge(list []entry, got *results, packages []string) verdict {
	var v verdict
	excused := v.judgeFailedTests(list, got)
	v.judgePackages(got, packages, excused)
	v.judgeUnfailedEntries(list, got)
	return v
}

// judgeFailedTests judges each test that failed, and returns the packages in which a listed test failed.
func (v *verdict) judgeFailedTests(list []entry, got *results) (excused map[string]bool) {
	listed := map[testID]entry{}
	for _, known := range list {
		listed[known.testID] = known
	}
	excused = map[string]bool{}
	for _, failed := range sorted(got.failed) {
		known, isListed := listed[failed]
		if !isListed {
			v.fail("%s of %s failed", failed.Name, failed.Package)
			continue
		}
		excused[failed.Package] = true
		v.notice("known to fail: %s of %s, %s, %s", known.Name, known.Package, known.Cause, known.Issue)
	}
	return excused
}

// judgePackages judges the outcome of each package. A package that failed without a failed test is a failure
// of its own.
func (v *verdict) judgePackages(got *results, packages []string, excused map[string]bool) {
	for _, name := range packages {
		passed, ended := got.packagePassed[name]
		switch {
		case !ended:
			v.fail("the tests of %s have no end", name)
		case passed:
		case got.crashed[name]:
			v.fail("the tests of %s broke off or were not built", name)
		case !excused[name] && !hasFailure(got, name):
			v.fail("%s failed with no failed test", name)
		}
	}
}

// judgeUnfailedEntries judges the listed tests that did not fail: a pass is a notice, but each must have run.
func (v *verdict) judgeUnfailedEntries(list []entry, got *results) {
	for _, known := range list {
		switch {
		case got.passed[known.testID]:
			v.notice("passes, though listed as known to fail: %s of %s, %s", known.Name, known.Package, known.Issue)
		case !got.failed[known.testID]:
			v.fail("%s of %s is listed and did not run", known.Name, known.Package)
		}
	}
}

func (v *verdict) fail(format string, values ...any) {
	v.Failures = append(v.Failures, fmt.Sprintf(format, values...))
}

func (v *verdict) notice(format string, values ...any) {
	v.Notices = append(v.Notices, fmt.Sprintf(format, values...))
}

// hasFailure reports whether a test of the package failed.
func hasFailure(got *results, name string) bool {
	for failed := range got.failed {
		if failed.Package == name {
			return true
		}
	}
	return false
}

// sorted returns the tests by package and name.
func sorted(tests map[testID]bool) []testID {
	return slices.SortedFunc(maps.Keys(tests), func(a, b testID) int {
		return cmp.Or(cmp.Compare(a.Package, b.Package), cmp.Compare(a.Name, b.Name))
	})
}
