package balancer

import "time"

// When an unhealthy endpoint is probed. A probe is a client's request that is sent there.
const (
	minProbeInterval    = 250 * time.Millisecond
	maxProbeInterval    = 4 * time.Second
	onceOnlyProbeFactor = 3               // times the interval until a request that must not run twice is a probe
	retryableAbsence    = 5 * time.Second // without a retryable request, after which others are probes
)

// scheduleProbe schedules the first probe.
func (h *health) scheduleProbe(now time.Duration) {
	h.probeInterval = minProbeInterval
	h.nextProbeAt = now + h.probeInterval
}

// probeSent schedules the next probe, with jitter; the interval doubles.
func (h *health) probeSent(now time.Duration, draw float64) {
	h.probesInFlight++
	h.nextProbeAt = now + seconds(h.probeInterval.Seconds()*(0.75+0.5*draw))
	h.probeInterval = min(2*h.probeInterval, maxProbeInterval)
}

// probeDue reports whether a request may be sent as a probe. One that isn't retryable waits longer, unless the last failure proved
// that the endpoint doesn't run what fails.
func (h *health) probeDue(now time.Duration, retryable bool) bool {
	at := h.nextProbeAt
	if !retryable && !h.lastFailureNotRun {
		at += (onceOnlyProbeFactor - 1) * h.probeInterval
	}
	return h.probesInFlight == 0 && now >= at
}
