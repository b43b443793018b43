package balancer

import "time"

// Conditions for the ejection of an endpoint, and its backoff after a rejection.
const (
	maxConsecutiveFailures = 2                      // that eject an endpoint
	minOverdue             = 400 * time.Millisecond // the least age of an overdue call
	minBackoff             = 10 * time.Millisecond
	defaultBackoff         = 50 * time.Millisecond // where the endpoint's call times are unknown
	maxBackoff             = time.Second
	maxCountedRejections   = 6 // beyond which the backoff no longer doubles
	rejectionHalfLife      = 2 * time.Second
	misdirectedBackoff     = 5 * time.Second // after an answer that the address belongs to another endpoint
)

// health is the state of an endpoint's passive health checks, which use only this proxy's calls.
type health struct {
	consecutiveFailures  int
	ejected              bool            // maxConsecutiveFailures calls have failed in a row, and none was answered since
	overdue              [callKinds]bool // by kind: a call in flight is overdue, and no newer call was answered
	lastFailureNotRun    bool            // the last failed call certainly did not run
	newestAnsweredSentAt time.Duration   // when the most recently sent of the answered calls was sent
	everAnswered         bool

	nextProbeAt    time.Duration
	probeInterval  time.Duration
	probesInFlight int

	rejections   float64 // decaying count
	rejectedAt   time.Duration
	everRejected bool
	backoffUntil time.Duration // until then the endpoint gets no attempts
}

// recordRejection starts a backoff of base seconds, doubled for each earlier rejection in the decaying count. draw, from 0 to 1,
// adds jitter so that proxies don't return at the same moment. A rejected call that was sent before the last counted rejection belongs to
// the same overload and is ignored.
func (h *health) recordRejection(now, sentAt time.Duration, base, draw float64) {
	if h.everRejected && sentAt < h.rejectedAt {
		return
	}
	h.rejections = h.rejections*decay(now-h.rejectedAt, rejectionHalfLife) + 1
	h.rejectedAt, h.everRejected = now, true
	backoff := base * (0.5 + draw)
	for i := 1; i < min(int(h.rejections), maxCountedRejections); i++ {
		backoff *= 2
	}
	h.backoffUntil = max(h.backoffUntil, now+min(seconds(backoff), maxBackoff))
}

// recordFailure counts a failed call, and ejects the endpoint after maxConsecutiveFailures. It ignores calls that were sent before
// the newest answered one, as their failures are out of date.
func (h *health) recordFailure(now, sentAt time.Duration, notRun bool) {
	if h.everAnswered && sentAt < h.newestAnsweredSentAt {
		return
	}
	h.lastFailureNotRun = notRun
	h.consecutiveFailures++
	if h.consecutiveFailures < maxConsecutiveFailures {
		return
	}
	if !h.ejected {
		h.scheduleProbe(now)
	}
	h.ejected = true
}

// recordAnswer records an answered call and readmits the endpoint. It reports whether the endpoint was ejected before.
func (h *health) recordAnswer(sentAt time.Duration) (readmitted bool) {
	readmitted = h.ejected
	h.consecutiveFailures, h.ejected, h.overdue = 0, false, [callKinds]bool{}
	h.rejections /= 2
	h.newestAnsweredSentAt, h.everAnswered = max(h.newestAnsweredSentAt, sentAt), true
	return readmitted
}

// detectOverdue checks whether calls of a kind have been in flight for too long. Calls sent before the newest answered one don't
// count, as the endpoint has answered since.
func (e *endpoint) detectOverdue(now time.Duration, kind callKind, estimates *estimates) {
	overdue := false
	for _, a := range e.inFlight {
		if a.firstEventSeen || a.kind != kind || e.health.everAnswered && a.sentAt < e.health.newestAnsweredSentAt {
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
