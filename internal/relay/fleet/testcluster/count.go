package testcluster

import (
	"fmt"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

// counted compares what the fleet says that it has taken on with what clients were told: the same where no relay has died, and
// never more; those that died may have told nobody of what they did last. It returns what does not come about.
func (f *Fleet) counted(res *Result) string {
	lives, told := 0, 0
	f.mu.Lock()
	for _, e := range f.history {
		switch e.Kind {
		case checker.Started:
			lives++
		case checker.Taken:
			told++
		}
	}
	f.mu.Unlock()
	exact := lives == len(f.Relays)
	say := func(r *Relay) int {
		st, err := f.Ask(r, node.AdminRequest{Op: "counts"}, 2*time.Second)
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
	if f.Await(patience, func() bool {
		for _, r := range f.Relays {
			n := say(r)
			if res.Counted = n; !fits(n, told, exact) {
				text = fmt.Sprintf("%s says that %d were taken on, and clients were told so of %d", r.Name, n, told)
				return false
			}
		}
		return true
	}) {
		return ""
	}
	return text
}

// fits tells whether a fleet may say that it has taken on a number of messages where clients were told so of another: the same number
// where exact, and never more. A client that left before its answer came was told nothing, and its message counts as withdrawn: allowed
// for by one in a hundred, whatever was done to the relays.
func fits(taken, told int, exact bool) bool {
	if taken < 0 || exact && taken < told {
		return false
	}
	return taken <= told+told/100+5
}
