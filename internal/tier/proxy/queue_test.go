package proxy

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestQueuedRequest_NoCapacity_IsRejectedAtExpiry(t *testing.T) {
	for _, target := range []time.Duration{100, 320, 800, 1200, 4000} {
		synctest.Test(t, func(t *testing.T) {
			// given an endpoint whose only slot stays taken
			s, _ := newFullScheduler(t)
			facts := newFacts(0)
			facts.Route.LatencyTargetMs = int64(target)
			// when a request waits for it
			_, err := s.Select(t.Context(), facts)
			// then it is refused after a quarter of its target time, neither sooner nor later
			var refusal *Rejection
			if !errors.As(err, &refusal) {
				t.Errorf("got %v", err)
			}
			if waited, want := time.Since(facts.ArrivedAt), target*time.Millisecond/4; waited != want {
				t.Errorf("target %d ms: refused after %v, want %v", target, waited, want)
			}
		})
	}
}
