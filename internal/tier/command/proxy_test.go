package command

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// carrier is a data path that notes when it is ended, and ends as late as it may.
type carrier struct {
	drained, shut, ended time.Time
}

func (c *carrier) Drain() { c.drained = time.Now() }

func (c *carrier) Shutdown(ctx context.Context) error {
	c.shut = time.Now()
	<-ctx.Done()
	c.ended = time.Now()
	return ctx.Err()
}

// lastWords is for the answers to what is given up, and for the turns of those requests.
const lastWords = 300 * time.Millisecond

// leastRest is the part of the grace time that is left over in any case.
const leastRest = 0.02

func TestProxyEndsWithinItsGraceTime(t *testing.T) {
	const (
		noticed     = 2 * time.Second // the platform asks each second, and twice
		countsReady = 4 * time.Second // after which it must not count as ready
	)
	for _, grace := range []time.Duration{5 * time.Second, 8 * time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			c := &carrier{}
			// when a proxy with requests that go on is ended
			if err := endProxy(t.Context(), c, grace); err == nil {
				t.Error("all requests have ended")
			}
			// then it says so at once, takes requests until that is noticed, and is through before it is killed
			if !c.drained.Equal(began) {
				t.Errorf("grace %v: not ready after %v", grace, c.drained.Sub(began))
			}
			if taken := c.shut.Sub(began); taken < noticed || taken >= countsReady {
				t.Errorf("grace %v: takes requests for %v", grace, taken)
			}
			if took := c.ended.Sub(began); took < grace/2 || took+lastWords > part(grace, 1-leastRest) {
				t.Errorf("grace %v: through after %v", grace, took)
			}
		})
	}
}

func TestProxyEndsWithinAShortGraceTime(t *testing.T) {
	const exit = 50 * time.Millisecond // until the process has gone
	for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				c := &carrier{}
				// when a proxy with requests that go on is ended, whose grace time is too short for the platform to notice
				if err := endProxy(t.Context(), c, grace); err == nil {
					t.Error("all requests have ended")
				}
				// then it says so at once, waits for the requests for a good part of that time, and is through before it is killed
				if !c.drained.Equal(began) {
					t.Errorf("not ready after %v", c.drained.Sub(began))
				}
				if took := c.ended.Sub(began); took < grace/2 || took+lastWords+exit > grace {
					t.Errorf("gives up after %v, and has gone after %v", took, took+lastWords+exit)
				}
			})
		})
	}
}
