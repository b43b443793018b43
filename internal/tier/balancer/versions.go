package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTargetCredit bounds the attempts that the target may save up. A larger value gives it bursts.
	maxTargetCredit = 2.0
	// creditOverridesAffinity is the credit from which on the target also gets requests whose affinity keeps them at the version
	// in service. It is above 1, so that affinity decides as long as it yields enough requests for the target's share.
	creditOverridesAffinity = 1.25
	// initialShare is the share that the target gets at first, while it has a bonus left.
	initialShare = 0.25
)

// versionGroup is the ready endpoints of one version that takes requests.
type versionGroup struct {
	ready          []*endpoint // by hash
	hashes         []uint64    // of those, in the same order
	unsampledOrder []*endpoint // the order in which this proxy tries endpoints that it hasn't called; empty in a small group
	shortlist      []*endpoint
	shortlistedAt  time.Duration // solvedAt of the plan that it was made from
}

// sort brings the group into an order that doesn't depend on that of the list.
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

// limitToShare leaves only as many of the target's endpoints as its share loads like the rest of the service: a version
// that fails only under load must show that before it gets all requests. All proxies keep the same endpoints.
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

// selectGroup returns the group that takes the request. The target gets at most its share of all attempts at the service,
// counted by Sent; requests of one affinity keep to one version as far as that allows.
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
	case affinityKey != 0 && len(current.ready) > 0 && unit(mix(affinityKey)) >= share && svc.targetCredit < creditOverridesAffinity:
		return current
	}
	return target
}

// fallbackGroup returns the group that may take a request for which the first has no healthy endpoint; nil: there is none.
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

// accrueTargetCredit adds the target's share of one attempt of a route, and charges the attempt if it went to the target.
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
	if e.ofTarget {
		svc.targetCredit--
		svc.targetRoutes[route]++
	}
}
