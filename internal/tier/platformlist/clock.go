package platformlist

import (
	"context"
	"time"

	"mastusher/internal/tier/wait"
)

// Clock is a monotonic clock with a timer. Tests replace it by virtual time.
type Clock interface {
	Now() time.Time
	// Sleep waits for the delay, or returns the context's error if the context ends first.
	Sleep(ctx context.Context, delay time.Duration) error
}

// SystemClock is the machine's monotonic clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// Sleep waits on a timer.
func (SystemClock) Sleep(ctx context.Context, delay time.Duration) error {
	return wait.Sleep(ctx, delay)
}
