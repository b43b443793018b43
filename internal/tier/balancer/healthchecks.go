package balancer

import "time"

// Timing of probes. A probe is a client's request that is sent to an unhealthy endpoint to find out whether it has recovered.
const (
	minProbeInterval      = 250 * time.Millisecond
	maxProbeInterval      = 4 * time.Second
	atMostOnceProbeFactor = 3               // multiple of the interval after which a request that must not run twice may be a probe
	retryableAbsence      = 5 * time.Second // time without retryable requests after which a request that isn't retryable may be a probe
)

// scheduleProbe schedules the first probe.
func (h *health) scheduleProbe(now time.Duration) {
	h.probeInterval = minProbeInterval
	h.nextProbeAt = now + h.probeInterval
}

// probeSent counts a probe and schedules the next one, after an interval that doubles each time and is jittered by draw.
func (h *health) probeSent(now time.Duration, draw float64) {
	h.probesInFlight++
	h.nextProbeAt = now + seconds(h.probeInterval.Seconds()*(0.75+0.5*draw))
	h.probeInterval = min(2*h.probeInterval, maxProbeInterval)
}

// probeDue reports whether a request may be sent as a probe. A request that isn't retryable may be sent only after a longer time,
// unless the last failure proved that the failed call had not run.
func (h *health) probeDue(now time.Duration, retryable bool) bool {
	at := h.nextProbeAt
	if !retryable && !h.lastFailureNotRun {
		at += (atMostOnceProbeFactor - 1) * h.probeInterval
	}
	return h.probesInFlight == 0 && now >= at
}
