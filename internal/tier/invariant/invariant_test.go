package invariant

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
)

func TestCounter_Violated_CountsAndLogs(t *testing.T) {
	// Given a counter, when one invariant is violated twice and another one once,
	var logged bytes.Buffer
	counter := New(log.NewLogfmtLogger(&logged))
	counter.Violated(Recovery, "outage", "16s")
	counter.Violated(Recovery)
	counter.Violated(SurplusReplica)

	// then each violation is counted and logged.
	if diff := cmp.Diff(map[Name]int{Recovery: 2, SurplusReplica: 1}, counter.Counts()); diff != "" {
		t.Error(diff)
	}
	if got := strings.Count(logged.String(), Message); got != 3 || !strings.Contains(logged.String(), "outage=16s") {
		t.Errorf("log does not have three violations with their details:\n%s", &logged)
	}
}

func TestCounter_Nil_CountsNothing(t *testing.T) {
	var none *Counter
	none.Violated(Recovery)
	if got := none.Counts(); got != nil {
		t.Errorf("got %v, want nil", got)
	}
}
