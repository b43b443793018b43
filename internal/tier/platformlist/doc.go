// Package platformlist reads the platform's list of endpoints, which comes in pages and under a rate that all readers
// share. What a read means (pager, roll) is pure; Reader adds the calls, the pace and the pauses after failures.
package platformlist

import "time"

const (
	callTimeout        = 2 * time.Second
	maxPageBytes       = 8 << 20
	maxPages           = 4096
	maxRestarts        = 3 // of one read, after a page that the platform no longer knows
	minBackoff         = 100 * time.Millisecond
	maxBackoff         = 2 * time.Second
	maxRetryAfter      = 5 * time.Second
	maxHeaderBytes     = 64 << 10
	maxDrainBytes      = 64 << 10 // of an answer that isn't wanted, read so that its connection may be used again
	burstDivisor       = 8        // one part in so many of the rate may be used at once
	lowRateFactor      = 0.9      // of a rate too low for that
	missesUntilRemoved = 2        // whole reads in a row that miss an endpoint before it counts as gone
	nanosecondsFloatS  = float64(time.Second)
)
