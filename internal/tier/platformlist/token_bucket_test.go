package platformlist

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTokenBucket_AnySecond_KeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 200).Draw(t, "rate")
		now := time.Unix(1_000_000, 0)
		bucket := newTokenBucket(rate, now)
		var calls []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "idle")))
			now = now.Add(bucket.take(now))
			calls = append(calls, now)
		}
		start := 0
		for end := range calls {
			for calls[end].Sub(calls[start]) >= time.Second {
				start++
			}
			if count := end - start + 1; float64(count) > max(rate+1, 2) {
				t.Fatalf("%d calls within a second, more than the rate of %v allows", count, rate)
			}
		}
	})
}

func TestTokenBucket_Backlog_UsesRate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	bucket := newTokenBucket(47, now)
	var waited time.Duration
	for range 5 {
		waited += bucket.take(now)
	}
	if waited != 0 {
		t.Errorf("5 calls waited %v, want no wait within the burst", waited)
	}
}
