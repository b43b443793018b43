package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTargetCredit bounds the credit that the target may accumulate. A larger value allows larger bursts.
	maxTargetCredit = 2.0
	// creditOverridesAffinity is the credit from which on the target also gets requests whose affinity key belongs to the version
	// in service. It is above 1, so that affinity decides as long as the target's own keys yield enough requests for its share.
	creditOverridesAffinity = 1.25
	// initialShare is the share of attempts that the target gets while it has a bonus left.
	initialShare = 0.25
)

// versionGroup holds the ready endpoints of one version that takes requests.
type versionGroup struct {
	ready          []*endpoint // ordered by hash
	hashes         []uint64    // of the ready endpoints, in the same order
	unsampledOrder []*endpoint // the order in which this proxy first calls the endpoints; empty in a small group
	shortlist      []*endpoint
	shortlistedAt  time.Duration // solvedAt of the plan that the shortlist was built from
}

// sort orders the group by hash, whatever the order of the list, and clears its shortlist.
func (g *versionGroup) sort() {
	byHash := func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.model.ID, b.model.ID))
	}
	slices.SortFunc(g.ready, byHash)
	g.hashes = g.hashes[:0]
	for _, e := range g.ready {
		g.hashes = append(g.hashes, e.hash)
	}
	g.unsampledOrder, g.shortlist = g.unsampledOrder[:0], g.shortlist[:0]
	if len(g.ready) < shortlistThreshold {
		return
	}
	g.unsampledOrder = append(g.unsampledOrder, g.ready...)
	slices.SortFunc(g.unsampledOrder, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.zonePenalty, b.zonePenalty), cmp.Compare(a.tieBreak, b.tieBreak), byHash(a, b))
	})
}

// limitToShare keeps only the given share of the target's endpoints, at least one, so that these are loaded about as much as the rest
// of the service: a version that fails only under load must be detected before it gets all requests. All proxies keep the same
// endpoints.
func (g *versionGroup) limitToShare(share float64) {
	if share <= 0 || share >= 1 || len(g.ready) == 0 {
		return
	}
	remaining := max(1, int(share*float64(len(g.ready))))
	for _, e := range g.ready[remaining:] {
		e.ready = false
	}
	g.ready, g.hashes = g.ready[:remaining], g.hashes[:remaining]
	g.unsampledOrder = slices.DeleteFunc(g.unsampledOrder, func(e *endpoint) bool { return !e.ready })
}

// selectGroup returns the group that takes the request. The target gets at most its share of the attempts sent to the service, and
// its bonus. As far as that allows, requests with the same affinity key stay with one version.
func (svc *service) selectGroup(affinityKey uint64, route string) *versionGroup {
	current, target := &svc.groups[0], &svc.groups[1]
	if svc.versions.Target != "" {
		svc.targetRoutes.observe(route)
	}
	switch share := svc.versions.TrafficShare; {
	case len(target.ready) == 0 || share <= 0:
		return current
	case share >= 1:
		return target
	case svc.targetCredit < 1:
		return current
	case len(current.ready) > 0 && svc.targetCredit < creditOverridesRoute && svc.targetRoutes.isAhead(route):
		return current
	case affinityKey != 0 && len(current.ready) > 0 && toUnitInterval(mix(affinityKey)) >= share && svc.targetCredit < creditOverridesAffinity:
		return current
	}
	return target
}

// fallbackGroup returns the group that may take a request if the first group has no healthy endpoint for it; nil: there is none.
func (svc *service) fallbackGroup(first *versionGroup) *versionGroup {
	current, target := &svc.groups[0], &svc.groups[1]
	switch {
	case first == target && len(current.ready) > 0:
		return current
	case first == current && len(target.ready) > 0 && svc.versions.TrafficShare > 0 && svc.targetCredit >= 1:
		return target
	}
	return nil
}

// accrueTargetCredit adds the target's share of one attempt, and part of its bonus, to the credit. If the attempt was sent to the
// target, it charges the credit and counts the route.
func (svc *service) accrueTargetCredit(e *endpoint, route string) {
	if svc.versions.Target == "" {
		return
	}
	svc.targetCredit += svc.versions.TrafficShare
	if len(svc.groups[1].ready) > 0 {
		bonus := min(max(initialShare-svc.versions.TrafficShare, 0), svc.targetBonus, max(maxTargetCredit-svc.targetCredit, 0))
		svc.targetBonus -= bonus
		svc.targetCredit += bonus
	}
	svc.targetCredit = min(svc.targetCredit, maxTargetCredit)
	if e.isTarget {
		svc.targetCredit--
		svc.targetRoutes[route]++
	}
}
