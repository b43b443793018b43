package shrink

import (
	"slices"
	"testing"
)

func TestRemoveElements_TwoCauses_KeepsThemAlone(t *testing.T) {
	// Given a list that fails as long as it contains the elements 3 and 17,
	list := make([]int, 20)
	for i := range list {
		list[i] = i
	}
	runs := 0
	reducer := New(list, 1000, func(candidate []int) bool {
		runs++
		return slices.Contains(candidate, 3) && slices.Contains(candidate, 17)
	})
	// when elements are removed, then only these two are left, after fewer runs than there are pairs of elements.
	RemoveElements(reducer)
	if !slices.Equal(reducer.Smallest(), []int{3, 17}) || runs > 60 {
		t.Errorf("the reduced list is %v after %d runs, want [3 17] after at most 60", reducer.Smallest(), runs)
	}
	// The list that was passed in is unchanged.
	for i := range list {
		if list[i] != i {
			t.Fatalf("the caller's list has changed: %v", list)
		}
	}
}

func TestRemoveElements_FailsWithoutAny_EmptyAfterOneRun(t *testing.T) {
	runs := 0
	reducer := New([]string{"a", "b", "c"}, 10, func([]string) bool { runs++; return true })
	RemoveElements(reducer)
	if len(reducer.Smallest()) != 0 || runs != 1 {
		t.Errorf("the reduced list is %q after %d runs, want an empty list after 1", reducer.Smallest(), runs)
	}
}

func TestTry_NoRunsLeft_KeepsSmallest(t *testing.T) {
	// Given a reducer with two runs,
	runs := 0
	reducer := New(10, 2, func(int) bool { runs++; return true })
	// when three failing candidates are tried, then the third one isn't run.
	tried := []bool{reducer.Try(8), reducer.Try(6), reducer.Try(4)}
	if !slices.Equal(tried, []bool{true, true, false}) || reducer.Smallest() != 6 || runs != 2 {
		t.Errorf("tried %v, smallest %d after %d runs", tried, reducer.Smallest(), runs)
	}
}

func TestTry_CandidatePasses_KeepsSmallest(t *testing.T) {
	reducer := New(10, 5, func(candidate int) bool { return candidate >= 7 })
	if reducer.Try(5) || !reducer.Try(7) || reducer.Try(6) || reducer.Smallest() != 7 {
		t.Errorf("the smallest failing input is %d, want 7, with 5 and 6 rejected", reducer.Smallest())
	}
}
