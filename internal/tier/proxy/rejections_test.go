package proxy

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/metrics"
)

func TestOutage_LastsTooLong_BreaksInvariantOnce(t *testing.T) {
	const bound = 15 * time.Second
	type second struct{ rejected, served int }
	repeated := func(count int, one second) []second {
		var list []second
		for range count {
			list = append(list, one)
		}
		return list
	}
	for _, c := range []struct {
		name    string
		seconds []second
		want    int
	}{
		{"none", repeated(40, second{0, 9}), 0},
		{"shorter than the bound", append(repeated(15, second{8, 0}), second{0, 8}), 0},
		{"longer", repeated(40, second{8, 0}), 1},
		{"a quarter is served", repeated(40, second{3, 1}), 0},
		{"less than a quarter is served", repeated(40, second{4, 1}), 1},
		{"nobody asks meanwhile", append(append(repeated(2, second{8, 0}), repeated(20, second{})...), second{8, 0}), 1},
		{"two of them", append(append(repeated(20, second{8, 0}), second{1, 8}), repeated(20, second{8, 0})...), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			checks := invariant.New(log.NewNopLogger())
			observed := outage{limit: bound, checks: checks}
			for at, one := range c.seconds {
				observed.observe(time.Unix(int64(at), 0), one.rejected, one.served)
			}
			if got := checks.Counts()[invariant.Recovery]; got != c.want {
				t.Errorf("broken %d times, want %d", got, c.want)
			}
		})
	}
}

func TestRejections_Report_LogsKindsAndCause(t *testing.T) {
	// Given error responses of a proxy, when they are reported, then kinds, counts and cause are logged, and no second time.
	var logged bytes.Buffer
	counted := newRejectionCounter(&Options{Metrics: metrics.New()})
	counted.add(apierror.StateUnavailable)
	counted.add(apierror.StateUnavailable)
	counted.add(apierror.NotReady)
	counted.addServed()
	counted.recordCause(errors.New("no owner"))
	counted.report(time.Unix(1, 0), log.NewLogfmtLogger(&logged))
	counted.report(time.Unix(2, 0), log.NewLogfmtLogger(&logged))
	for _, want := range []string{"served=1", "notready=1", "stateunavailable=2", `cause="no owner"`} {
		if !strings.Contains(logged.String(), want) {
			t.Errorf("%q is not in %q", want, &logged)
		}
	}
	if count := strings.Count(logged.String(), "\n"); count != 1 {
		t.Errorf("%d lines", count)
	}
}
