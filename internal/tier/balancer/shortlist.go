package balancer

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of what a selection looks at in a large service.
const (
	shortlistThreshold    = 64 // ready endpoints of a group from which on a selection looks at a shortlist only
	maxShortlistSampled   = 32 // the best of those that this proxy has called
	maxShortlistUnsampled = 16 // of those that it has not
)

// candidates returns the endpoints of the group that a selection looks at: all in a small group, and in a large one the
// shortlist, which is made anew with each solved plan.
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

// shortlistBest puts the best of the endpoints that this proxy has called on the shortlist.
func (g *versionGroup) shortlistBest(svc *service, plan *callPlan, now time.Duration) {
	othersShare := svc.load.expectedShare(now)
	for _, stats := range plan.sampled {
		if e := stats.endpoint; e.ready && e.ofTarget == (g == &svc.groups[1]) {
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

// shortlistNext adds the endpoints that this proxy is to call for the first time next.
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
