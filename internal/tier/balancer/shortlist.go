package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Limits on the number of endpoints that a selection examines in a large service.
const (
	shortlistThreshold    = 64 // number of ready endpoints in a group from which on a selection examines only a shortlist
	maxShortlistSampled   = 32 // endpoints that have a table, the best first
	maxShortlistUnsampled = 16 // endpoints without a table
)

// candidates returns the endpoints of the group that a selection examines: all of a small group, and the shortlist of a large one. The
// shortlist is rebuilt whenever the plan was solved again.
func (g *versionGroup) candidates(svc *service, plan *callPlan, now time.Duration) []*endpoint {
	if len(g.unsampledOrder) == 0 {
		return g.ready
	}
	if len(g.shortlist) > 0 && g.shortlistedAt == plan.solvedAt {
		return g.shortlist
	}
	g.shortlistedAt = plan.solvedAt
	g.shortlist = g.shortlist[:0]
	g.shortlistBest(svc, plan, now)
	g.shortlistNext(plan, now)
	return g.shortlist
}

// shortlistBest adds the best of the endpoints that have a table to the shortlist.
func (g *versionGroup) shortlistBest(svc *service, plan *callPlan, now time.Duration) {
	othersShare := svc.load.expectedOthersShare(now)
	for _, stats := range plan.sampled {
		if e := stats.endpoint; e.ready && e.isTarget == (g == &svc.groups[1]) {
			e.shortlistCost = stats.estimates.expected[1]*(1+e.congestion(e.estimatedInFlight(now, othersShare))) + e.zonePenalty
			g.shortlist = append(g.shortlist, e)
		}
	}
	if len(g.shortlist) > maxShortlistSampled {
		slices.SortFunc(g.shortlist, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(a.shortlistCost, b.shortlistCost), cmp.Compare(a.tieBreak, b.tieBreak))
		})
		g.shortlist = g.shortlist[:maxShortlistSampled]
	}
}

// shortlistNext adds the next endpoints without a table, in the order of unsampledOrder, to the shortlist.
func (g *versionGroup) shortlistNext(plan *callPlan, now time.Duration) {
	unsampled := 0
	for _, e := range g.unsampledOrder {
		if e.stats[plan.kind] == nil && e.accepting(now) {
			g.shortlist = append(g.shortlist, e)
			if unsampled++; unsampled == maxShortlistUnsampled {
				return
			}
		}
	}
}
