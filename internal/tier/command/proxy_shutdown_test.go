package command

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// fakeDataPath records when it is drained and shut down. Its shutdown takes all the time that it is given.
type fakeDataPath struct {
	drained, shut, ended time.Time
}

func (c *fakeDataPath) Drain() { c.drained = time.Now() }

func (c *fakeDataPath) Shutdown(ctx context.Context) error {
	c.shut = time.Now()
	<-ctx.Done()
	c.ended = time.Now()
	return ctx.Err()
}

// abandonTime is the time for answering abandoned requests and committing their turns.
const abandonTime = 300 * time.Millisecond

// minRest is the share of the grace time that must remain.
const minRest = 0.02

// shutDownBusy shuts down a proxy whose requests don't end, and checks that it stops being ready immediately. It also returns the time at
// which the shutdown began.
func shutDownBusy(t *testing.T, grace time.Duration) (path *fakeDataPath, began time.Time) {
	t.Helper()
	path, began = &fakeDataPath{}, time.Now()
	if err := shutdownProxy(t.Context(), path, grace); err == nil {
		t.Error("the shutdown succeeded though no request ended")
	}
	if !path.drained.Equal(began) {
		t.Errorf("grace %v: stopped being ready only after %v", grace, path.drained.Sub(began))
	}
	return path, began
}

func TestShutdownProxy_EndsWithinGraceTime(t *testing.T) {
	const (
		noticed     = 2 * time.Second // the platform checks every second and must notice twice
		countsReady = 4 * time.Second // by when the platform must not take it for ready
	)
	for _, grace := range []time.Duration{5 * time.Second, 8 * time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			// given a proxy with requests that don't end, when it is shut down,
			c, began := shutDownBusy(t, grace)
			// then it accepts requests until the platform has noticed, and has ended before it is killed
			if accepting := c.shut.Sub(began); accepting < noticed || accepting >= countsReady {
				t.Errorf("grace %v: accepts requests for %v", grace, accepting)
			}
			if took := c.ended.Sub(began); took < grace/2 || took+abandonTime > shareOf(grace, 1-minRest) {
				t.Errorf("grace %v: ended after %v", grace, took)
			}
		})
	}
}

func TestShutdownProxy_ShortGraceTime_EndsWithinIt(t *testing.T) {
	const exit = 50 * time.Millisecond // until the process has exited
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// when a proxy with requests that don't end is shut down, and the grace time is too short for the platform to notice,
				c, began := shutDownBusy(t, grace)
				// then it waits for the requests for at least half of that time, and has exited before it is killed
				if took := c.ended.Sub(began); took < grace/2 || took+abandonTime+exit > grace {
					t.Errorf("stopped waiting after %v and exited after %v", took, took+abandonTime+exit)
				}
			})
		})
	}
}

func TestDrainDuration_CoversTwoReadinessChecks(t *testing.T) {
	cases := map[time.Duration]time.Duration{
		8 * time.Second:  2400 * time.Millisecond,
		30 * time.Second: 2400 * time.Millisecond,
		6 * time.Second:  2400 * time.Millisecond,
		2 * time.Second:  800 * time.Millisecond,
		0:                0,
	}
	for grace, want := range cases {
		if got := drainDuration(grace); got != want {
			t.Errorf("grace of %v: drains for %v, want %v", grace, got, want)
		}
	}
}
