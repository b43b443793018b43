// Package wait has the tier's two ways to wait until a context ends. They use package time, so that they work in a testing/synctest
// bubble.
package wait

import (
	"context"
	"time"
)

// Sleep waits for a duration and returns nil, or returns the context's error if the context ends first.
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

// Every calls run at the end of each interval until ctx ends. If intervals end while run is running, at most one further call follows at
// once.
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
