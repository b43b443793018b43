package wait

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep_ContextEndsFirst_ReturnsItsError(t *testing.T) {
	for name, test := range map[string]struct {
		duration, timeout, wantTook time.Duration
		want                        error
	}{
		"the duration is over first": {time.Second, time.Minute, time.Second, nil},
		"the context ends first":     {time.Minute, time.Second, time.Second, context.DeadlineExceeded},
		"nothing to wait for":        {0, time.Minute, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				began := time.Now()
				if err := Sleep(ctx, test.duration); !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
				if took := time.Since(began); took != test.wantTook {
					t.Errorf("took %v, want %v", took, test.wantTook)
				}
			})
		})
	}
}

func TestEvery_UntilContextEnds_RunsOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		began, runs := time.Now(), []time.Duration(nil)
		Every(ctx, time.Second, func() { runs = append(runs, time.Since(began)) })
		if len(runs) != 3 || runs[0] != time.Second || runs[2] != 3*time.Second {
			t.Errorf("ran after %v, want runs after 1 s, 2 s and 3 s", runs)
		}
	})
}
