package testcluster

import (
	"fmt"
	"strconv"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/policy"
)

// allMessagesEnded reports whether every accepted message has an outcome: a call that took effect, or a notice.
func (f *Fleet) allMessagesEnded() bool {
	notices, _ := f.discovery.Notices()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.history {
		if e.Kind == checker.Accepted && f.callsByMessage[e.ID] == 0 && notices[e.ID] == "" {
			return false
		}
	}
	return true
}

// judge completes the history and has the checker judge it.
func (f *Fleet) judge(res *Result) {
	notices, twice := f.discovery.Notices()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.callsByMessage {
		res.Calls += n
		f.history = append(f.history, checker.Entry{At: f.now(), Kind: checker.Ended, ID: id, Text: "called"})
	}
	for id, how := range notices {
		if f.callsByMessage[id] == 0 {
			f.history = append(f.history, checker.Entry{At: f.now(), Kind: checker.Ended, ID: id, Text: how})
		}
	}
	if twice > 0 {
		f.history = append(f.history, checker.Entry{At: f.now(), Kind: checker.Breached, Text: fmt.Sprintf("%d messages were told two different ends", twice)})
	}
	for _, c := range f.changes {
		e := checker.Entry{At: c.proposedAt, Until: c.finishedAt, Kind: checker.Proposed, Base: c.base, Version: c.version}
		if res.Changes++; c.version != 0 {
			res.InForce++
			res.ChangeTimes = append(res.ChangeTimes, c.finishedAt-c.proposedAt)
		}
		f.history = append(f.history, e)
	}
	for _, l := range f.links {
		res.Bytes += l.bytes[0].Load() + l.bytes[1].Load()
	}
	res.History = f.history
	res.StaleActs, res.MaxStaleness = checker.Stale(f.history)
	// A call may be seen a little after it was begun, on a machine that is busy; what a relay does that should not act goes on
	// for as long as it runs.
	res.Breach = checker.Judge(f.history, checker.Options{Slack: clockSlack, ServePartitioned: f.plan.WhenPartitioned == "serve", AllMustEnd: res.Stuck == "", Bounds: f.allBounds()})
}

// closeBounds ends the time during which the partners had their current limit; the caller must hold f.mu. Calls are judged by a new limit only
// two leases later, when all relays know it.
func (f *Fleet) closeBounds() {
	if f.partnerLimit == 0 || f.plan.GuaranteedShare == 0 {
		return
	}
	starts := 0.0
	for _, e := range f.history {
		if e.Kind == checker.Started {
			starts++
		}
	}
	from := f.limitKnownFrom
	if n := len(f.pastBounds); n > 0 {
		from = f.pastBounds[n-1].Until + 2*f.plan.Lease
	}
	for p := range partners {
		f.pastBounds = append(f.pastBounds, checker.Bound{To: strconv.Itoa(p), Rate: f.partnerLimit, Burst: starts + f.partnerLimit*(0.05+clockSlack.Seconds()), From: from, Until: f.now()})
	}
}

// clockSlack is by how much later than it was begun a call may be seen.
const clockSlack = 400 * time.Millisecond

// allBounds are the bounds on calls to partners: of the partners' own limits, and of the limits by hand in policies that took effect. The
// burst allows for one saved call a start of a relay, for a twentieth of a second, and for clockSlack.
func (f *Fleet) allBounds() (all []checker.Bound) {
	f.closeBounds()
	all = append(all, f.pastBounds...)
	starts := 0.0
	for _, e := range f.history {
		if e.Kind == checker.Started {
			starts++
		}
	}
	for _, c := range f.changes {
		d, err := policy.Parse([]byte(c.doc))
		if err != nil || c.version == 0 {
			continue
		}
		for to, p := range d.Partners {
			if p.Limit > 0 {
				all = append(all, checker.Bound{Version: c.version, To: to, Rate: p.Limit,
					Burst: starts + p.Limit*(0.05+clockSlack.Seconds())})
			}
		}
	}
	return all
}
