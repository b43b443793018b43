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
			// given an endpoint whose only slot stays occupied
			loadBalancer, _ := newSaturatedBalancer(t)
			info := newRequestInfo(0)
			info.Route.LatencyTargetMs = int64(target)
			// when a request is queued for it
			_, err := loadBalancer.Select(t.Context(), info)
			// then the request is rejected after exactly a quarter of its latency target
			var rejection *RejectionError
			if !errors.As(err, &rejection) {
				t.Errorf("got %v", err)
			}
			if waited, want := time.Since(info.ArrivedAt), target*time.Millisecond/4; waited != want {
				t.Errorf("target %d ms: rejected after %v, want %v", target, waited, want)
			}
		})
	}
}
