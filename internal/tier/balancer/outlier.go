package balancer

import "time"

// When an endpoint is ejected, and how long it is left alone after a rejection.
const (
	maxFails            = 2 // consecutive failures that eject an endpoint
	minOverdue          = 400 * time.Millisecond
	minBackoff          = 10 * time.Millisecond
	defaultBackoff      = 50 * time.Millisecond // where the endpoint's call times are unknown
	maxBackoff          = time.Second
	maxBackoffDoublings = 6
	rejectionHalfLife   = 2 * time.Second
	misdirectedBackoff  = 5 * time.Second // after another endpoint answered at the address
)

// health is what the proxy's own calls show of an endpoint (passive health checks).
type health struct {
	consecutiveFailures int
	ejected             bool            // maxFails calls in a row have failed, and none was answered since
	overdue             [callKinds]bool // calls in flight are older than its calls usually get, and no newer one was answered
	lastFailureNotRun   bool            // the last failure proved that the call has not run and never will
	newestAnswered      time.Duration   // when the newest answered call was sent
	everAnswered        bool

	nextProbeAt    time.Duration
	probeInterval  time.Duration
	probesInFlight int

	rejections   float64 // count that decays
	rejectedAt   time.Duration
	everRejected bool
	backoffUntil time.Duration // nothing is sent before
}

// recordRejection takes a rejection: the backoff doubles with each one that has not decayed, and a random draw keeps proxies from
// coming back together. Rejections of calls that were sent before the backoff began are one with it.
func (h *health) recordRejection(now, sentAt time.Duration, base, draw float64) {
	if h.everRejected && sentAt < h.rejectedAt {
		return
	}
	h.rejections = h.rejections*decay(now-h.rejectedAt, rejectionHalfLife) + 1
	h.rejectedAt, h.everRejected = now, true
	backoff := base * (0.5 + draw)
	for i := 1; i < min(int(h.rejections), maxBackoffDoublings); i++ {
		backoff *= 2
	}
	h.backoffUntil = max(h.backoffUntil, now+min(seconds(backoff), maxBackoff))
}

// recordFailure takes the failure of a call. One of a call that was sent before the newest answered one is out of date.
func (h *health) recordFailure(now, sentAt time.Duration, notRun bool) {
	if h.everAnswered && sentAt < h.newestAnswered {
		return
	}
	h.lastFailureNotRun = notRun
	h.consecutiveFailures++
	if h.consecutiveFailures < maxFails {
		return
	}
	if !h.ejected {
		h.scheduleProbe(now)
	}
	h.ejected = true
}

// recordAnswer takes an answered call, which readmits the endpoint. It reports whether that was ejected.
func (h *health) recordAnswer(sentAt time.Duration) (readmitted bool) {
	readmitted = h.ejected
	h.consecutiveFailures, h.ejected, h.overdue = 0, false, [callKinds]bool{}
	h.rejections /= 2
	h.newestAnswered, h.everAnswered = max(h.newestAnswered, sentAt), true
	return readmitted
}

// detectOverdue checks whether calls of a kind have been in flight for too long. Calls older than the newest answered one don't
// count: the endpoint answers.
func (e *endpoint) detectOverdue(now time.Duration, kind callKind, estimates *estimates) {
	overdue := false
	for _, a := range e.inFlight {
		if a.answered || a.kind != kind || e.health.everAnswered && a.sentAt < e.health.newestAnswered {
			continue
		}
		bound := max(minOverdue, seconds(a.workScale*estimates.overdueAfter.Seconds()))
		if estimates.overdueAfter == 0 {
			bound = 2 * minOverdue
		}
		overdue = overdue || now-a.sentAt > bound
	}
	if overdue && !e.unhealthy() {
		e.health.scheduleProbe(now)
	}
	e.health.overdue[kind] = overdue
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
