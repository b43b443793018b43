// Package wait has the two waits of the tier that end with a context. They use the time of package time, and so that of a
// testing/synctest bubble.
package wait

import (
	"context"
	"time"
)

// Sleep waits for a duration, and returns nil; or the context's error, if that ends first.
func Sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every calls run at the end of each interval, until ctx ends, and then returns. Intervals that end while run runs are skipped but for one.
func Every(ctx context.Context, interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run()
		}
	}
}
