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
	const limit = 15 * time.Second
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
		{"no outage", repeated(40, second{0, 9}), 0},
		{"shorter than the limit", append(repeated(15, second{8, 0}), second{0, 8}), 0},
		{"longer than the limit", repeated(40, second{8, 0}), 1},
		{"a quarter is served", repeated(40, second{3, 1}), 0},
		{"less than a quarter is served", repeated(40, second{4, 1}), 1},
		{"an interval without requests", append(append(repeated(2, second{8, 0}), repeated(20, second{})...), second{8, 0}), 1},
		{"two outages", append(append(repeated(20, second{8, 0}), second{1, 8}), repeated(20, second{8, 0})...), 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			checks := invariant.New(log.NewNopLogger())
			observed := outage{limit: limit, checks: checks}
			for at, one := range c.seconds {
				observed.observe(time.Unix(int64(at), 0), one.rejected, one.served)
			}
			if got := checks.Counts()[invariant.Recovery]; got != c.want {
				t.Errorf("the invariant was broken %d times, want %d", got, c.want)
			}
		})
	}
}

func TestRejections_Report_LogsKindsAndCause(t *testing.T) {
	// Given error responses of a proxy, when they are reported twice, then their kinds, counts and cause are logged once.
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
		t.Errorf("logged %d lines, want 1", count)
	}
}
