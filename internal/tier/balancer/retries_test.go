package balancer

import (
	"testing"
	"time"
)

func TestRetryBudget_Successes_EarnRetries(t *testing.T) {
	balancer := newBalancer(endpointsOf("feeds", 4, 6))
	r := retryableRequest()
	r.AttemptsUsed, r.MayHaveRun = 1, true
	sent := 0
	for balancer.Select(0, r).Endpoint != nil {
		call(t, balancer, 0, r, IncompleteResponse, time.Millisecond)
		sent++
	}
	if sent != int(maxRetryBudget/2) {
		t.Errorf("%d retries sent without a success, want %d", sent, int(maxRetryBudget/2))
	}
	now := callRepeatedly(t, balancer, 10*time.Second, retryableRequest(), 5, 10*time.Millisecond)
	if balancer.Select(now, r).Endpoint == nil {
		t.Error("five successes earned no retry")
	}
}
