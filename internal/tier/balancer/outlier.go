package balancer

import "time"

// How endpoints that fail or refuse are avoided.
const (
	failingStreak  = 2 // failures in a row that make an endpoint failing
	probeFirst     = 250 * time.Millisecond
	probeMost      = 4 * time.Second
	probeUnsafe    = 3               // times as long until a request that must not run twice is a probe
	safeAbsent     = 5 * time.Second // without a retryable request, others are probes
	overrunLeast   = 400 * time.Millisecond
	waitLeast      = 10 * time.Millisecond
	waitFirst      = 50 * time.Millisecond // where the endpoint's speed isn't known
	waitMost       = time.Second
	waitDoublings  = 6
	refusalFading  = 2 * time.Second // half-life of refusals
	misdirectedFor = 5 * time.Second
)

// health is what is observed of an endpoint.
type health struct {
	streak     int             // failures in a row
	failing    bool            // it has failed, and has not answered since
	late       [callKinds]bool // calls in flight are older than its calls usually get, and no newer one was answered
	ranNot     bool            // the last failure proved that the call never ran
	newest     time.Duration
	probeAt    time.Duration // the next probe
	probeGap   time.Duration
	probes     int // in flight
	refusals   float64
	refusedAt  time.Duration
	refused    bool
	waitUntil  time.Duration // nothing is sent before
	answeredBy bool          // a call has been answered
}

// refuse takes a refusal: the wait doubles with each one that has not faded, and chance keeps proxies from coming
// back together. Calls that were out when the wait began tell nothing new.
func (h *health) refuse(now, sentAt time.Duration, base, draw float64) {
	if h.refused && sentAt < h.refusedAt {
		return
	}
	h.refusals = h.refusals*fading(now-h.refusedAt, refusalFading) + 1
	h.refusedAt, h.refused = now, true
	wait := base * (0.5 + draw)
	for i := 1; i < min(int(h.refusals), waitDoublings); i++ {
		wait *= 2
	}
	h.waitUntil = max(h.waitUntil, now+min(seconds(wait), waitMost))
}

// fail takes a failure of a call. One that is older than an answered call tells nothing of now.
func (h *health) fail(now, sentAt time.Duration, ranNot bool) {
	if h.answeredBy && sentAt < h.newest {
		return
	}
	h.ranNot = ranNot
	h.streak++
	if h.streak < failingStreak {
		return
	}
	if !h.failing {
		h.doubt(now)
	}
	h.failing = true
}

// doubt puts off the first probe.
func (h *health) doubt(now time.Duration) {
	h.probeGap = probeFirst
	h.probeAt = now + h.probeGap
}

// answer takes an answered call, and tells whether the endpoint has come back with it.
func (h *health) answer(sentAt time.Duration) bool {
	back := h.failing
	h.streak, h.failing, h.late = 0, false, [callKinds]bool{}
	h.refusals /= 2
	h.newest, h.answeredBy = max(h.newest, sentAt), true
	return back
}

// probed puts off the next probe.
func (h *health) probed(now time.Duration, draw float64) {
	h.probes++
	h.probeAt = now + seconds(h.probeGap.Seconds()*(0.75+0.5*draw))
	h.probeGap = min(2*h.probeGap, probeMost)
}

// mayProbe tells whether a request may go out as a probe.
func (h *health) mayProbe(now time.Duration, safe bool) bool {
	at := h.probeAt
	if !safe && !h.ranNot {
		at += (probeUnsafe - 1) * h.probeGap
	}
	return h.probes == 0 && now >= at
}

// watch looks whether calls in flight overrun.
func (e *endpoint) watch(now time.Duration, kind callKind, f *figures) {
	late := false
	for _, a := range e.out {
		if a.answered || a.kind != kind || e.health.answeredBy && a.sentAt < e.health.newest {
			continue
		}
		bound := max(overrunLeast, seconds(a.scale*f.overrun.Seconds()))
		if f.overrun == 0 {
			bound = 2 * overrunLeast
		}
		late = late || now-a.sentAt > bound
	}
	if late && !e.suspect() {
		e.health.doubt(now)
	}
	e.health.late[kind] = late
}

// seconds is a duration of that many seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
