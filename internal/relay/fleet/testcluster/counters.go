package testcluster

import (
	"fmt"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

// checkCounters compares the fleet's own counters of accepted messages with what clients were answered: equal where no relay was restarted,
// and never more; a relay that was killed may not have reported its last ones. It returns what does not match in time; "": all does.
func (f *Fleet) checkCounters(res *Result) string {
	starts, acknowledged := 0, 0
	f.mu.Lock()
	for _, e := range f.history {
		switch e.Kind {
		case checker.Started:
			starts++
		case checker.Accepted:
			acknowledged++
		}
	}
	f.mu.Unlock()
	exact := starts == len(f.Relays)
	accepted := func(r *Relay) int {
		st, err := f.Admin(r, node.AdminRequest{Op: "counts"}, 2*time.Second)
		if err != nil || st.Totals == nil {
			return -1
		}
		n, err := quota.DecodeCounters(st.Totals.Counters)
		if err != nil {
			return -1
		}
		return int(n[quota.KeyOf(quota.Counter, "class transfer taken")] + n[quota.KeyOf(quota.Counter, "class match-event taken")])
	}
	text := ""
	if f.Await(eventTimeout, func() bool {
		for _, r := range f.Relays {
			n := accepted(r)
			if res.AcceptedByCounters = n; !countsMatch(n, acknowledged, exact) {
				text = fmt.Sprintf("%s says that %d were taken on, and clients were told so of %d", r.Name, n, acknowledged)
				return false
			}
		}
		return true
	}) {
		return ""
	}
	return text
}

// countsMatch reports whether a fleet may count so many accepted messages where clients were answered so for acknowledged ones: the same
// number where exact, and never more. A client that left before its answer came got none, and its message counts as withdrawn: one in a
// hundred, and five, are allowed for.
func countsMatch(accepted, acknowledged int, exact bool) bool {
	if accepted < 0 || exact && accepted < acknowledged {
		return false
	}
	return accepted <= acknowledged+acknowledged/100+5
}
