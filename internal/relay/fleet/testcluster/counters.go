package testcluster

import (
	"fmt"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

// checkCounters compares the fleet's own counters of accepted messages with the number that clients saw accepted. They must match exactly
// if no relay was restarted; a killed relay may not have reported its last counters. checkCounters returns a mismatch that lasts until the
// timeout, empty for none.
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
				text = fmt.Sprintf("%s counts %d accepted messages, but clients were told so for %d", r.Name, n, acknowledged)
				return false
			}
		}
		return true
	}) {
		return ""
	}
	return text
}

// countsMatch reports whether the fleet's counter of accepted messages matches the number that clients saw acknowledged: it must not be
// lower if exact is set, and never be higher by more than 1% plus five. These are messages whose clients left before the answer.
func countsMatch(accepted, acknowledged int, exact bool) bool {
	if accepted < 0 || exact && accepted < acknowledged {
		return false
	}
	return accepted <= acknowledged+acknowledged/100+5
}
