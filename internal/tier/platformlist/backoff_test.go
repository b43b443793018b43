package platformlist

import (
	"testing"
	"time"
)

func TestBackoff(t *testing.T) {
	cases := []struct {
		failures int
		jitter   float64
		want     time.Duration
	}{
		{failures: 1, jitter: 0, want: 100 * time.Millisecond},
		{failures: 1, jitter: 1, want: 50 * time.Millisecond},
		{failures: 4, jitter: 0, want: 800 * time.Millisecond},
		{failures: 5000, jitter: 0, want: 2 * time.Second},
	}
	for _, c := range cases {
		if got := backoff(c.failures, c.jitter); got != c.want {
			t.Errorf("%d failures, jitter %v: %v, want %v", c.failures, c.jitter, got, c.want)
		}
	}
}
