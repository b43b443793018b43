package platformlist

import (
	"context"
	"time"
)

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	// Sleep waits, or gives the context's error when that ends first.
	Sleep(ctx context.Context, pause time.Duration) error
}

// SystemClock is the machine's steady clock.
type SystemClock struct{}

// Now gives the time.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// Sleep waits on a timer.
func (SystemClock) Sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
