package proxy

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"mastusher/internal/tier/apierror"
)

func TestErrorResponse_Rejection_HasRetryAfter(t *testing.T) {
	const second = float64(time.Second)
	for _, test := range []struct {
		kind             apierror.Kind
		retryAfter       time.Duration // of the rejection; 0: none
		minimum, maximum time.Duration // of Retry-After
	}{
		{apierror.NotReady, 0, 450 * time.Millisecond, 585 * time.Millisecond},
		{apierror.StateUnavailable, 0, 450 * time.Millisecond, 585 * time.Millisecond},
		{apierror.Overloaded, 0, 100 * time.Millisecond, 100 * time.Millisecond},
		{apierror.Overloaded, 70 * time.Millisecond, 70 * time.Millisecond, 70 * time.Millisecond},
		{apierror.NotReady, 70 * time.Millisecond, 70 * time.Millisecond, 70 * time.Millisecond},
	} {
		for range 20 {
			recorder := httptest.NewRecorder()
			writeError(recorder, test.kind, test.retryAfter)
			value, err := strconv.ParseFloat(recorder.Header().Get(headerRetryAfter), 64)
			if err != nil {
				t.Fatal(err)
			}
			if got := time.Duration(value * second); got < test.minimum || got > test.maximum+time.Millisecond {
				t.Errorf("%v with retryAfter %v: got Retry-After %v, want %v to %v", test.kind, test.retryAfter, got, test.minimum, test.maximum)
			}
		}
	}
	recorder := httptest.NewRecorder()
	if writeError(recorder, apierror.MayHaveExecuted, 0); recorder.Header().Get(headerRetryAfter) != "" {
		t.Error("a response that does not guarantee that the request has not run has a Retry-After")
	}
}
