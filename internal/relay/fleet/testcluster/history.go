package testcluster

import (
	"fmt"
	"strconv"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/policy"
)

// allMessagesEnded reports whether every accepted message has an outcome, which is a call that took effect or a notice.
func (f *Fleet) allMessagesEnded() bool {
	notices, _ := f.discovery.Notices()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, entry := range f.history {
		if entry.Kind == checker.Accepted && f.callsByMessage[entry.ID] == 0 && notices[entry.ID] == "" {
			return false
		}
	}
	return true
}

// checkHistory completes the history and the result, and runs the checker.
func (f *Fleet) checkHistory(res *Result) {
	notices, contradictions := f.discovery.Notices()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, calls := range f.callsByMessage {
		res.Calls += calls
		f.history = append(f.history, checker.Entry{At: f.now(), Kind: checker.Ended, ID: id, Text: "called"})
	}
	for id, outcome := range notices {
		if f.callsByMessage[id] == 0 {
			f.history = append(f.history, checker.Entry{At: f.now(), Kind: checker.Ended, ID: id, Text: outcome})
		}
	}
	if contradictions > 0 {
		f.history = append(f.history, checker.Entry{At: f.now(), Kind: checker.Breached,
			Text: fmt.Sprintf("%d messages were told two different ends", contradictions)})
	}
	for _, change := range f.changes {
		entry := checker.Entry{At: change.proposedAt, Until: change.finishedAt, Kind: checker.Proposed, Base: change.base, Version: change.version}
		if res.Changes++; change.version != 0 {
			res.InForce++
			res.ChangeTimes = append(res.ChangeTimes, change.finishedAt-change.proposedAt)
		}
		f.history = append(f.history, entry)
	}
	for _, between := range f.links {
		res.Bytes += between.bytes[0].Load() + between.bytes[1].Load()
	}
	res.History = f.history
	res.StaleActs, res.MaxStaleness = checker.CountStaleActs(f.history)
	// On a busy machine a call may be recorded a little after its start. A relay that acts in violation of a rule does so for longer.
	res.Breach = checker.Check(f.history, checker.Options{Slack: clockSlack, ServePartitioned: f.plan.WhenPartitioned == "serve",
		AllMustEnd: res.Stuck == "", Bounds: f.allBounds()})
}

// closeBounds records the bounds of the partners' current limit, which end now. The bounds of a limit start two leases after its change,
// when all relays know it. The caller must hold f.mu.
func (f *Fleet) closeBounds() {
	if f.partnerLimit == 0 || f.plan.GuaranteedShare == 0 {
		return
	}
	from := f.limitKnownFrom
	if n := len(f.pastBounds); n > 0 {
		from = f.pastBounds[n-1].Until + 2*f.plan.Lease
	}
	for partner := range partners {
		f.pastBounds = append(f.pastBounds, checker.Bound{To: strconv.Itoa(partner), Rate: f.partnerLimit, Burst: f.burst(f.partnerLimit),
			From: from, Until: f.now()})
	}
}

// clockSlack is how much later than its start a call may be recorded.
const clockSlack = 400 * time.Millisecond

// allBounds returns the bounds on calls to partners by the partners' own limits and by the limits in policies that took effect. The caller
// must hold f.mu.
func (f *Fleet) allBounds() (all []checker.Bound) {
	f.closeBounds()
	all = append(all, f.pastBounds...)
	for _, change := range f.changes {
		document, err := policy.Parse([]byte(change.doc))
		if err != nil || change.version == 0 {
			continue
		}
		for name, partner := range document.Partners {
			if partner.Limit > 0 {
				all = append(all, checker.Bound{Version: change.version, To: name, Rate: partner.Limit, Burst: f.burst(partner.Limit)})
			}
		}
	}
	return all
}

// burst returns checker.Bound.Burst for a limit in calls/s: one call for each start of a relay, and the calls that the limit allows in
// 50 ms and in clockSlack. The caller must hold f.mu.
func (f *Fleet) burst(limit float64) float64 {
	starts := 0.0
	for _, entry := range f.history {
		if entry.Kind == checker.Started {
			starts++
		}
	}
	return starts + limit*(0.05+clockSlack.Seconds())
}
