package balancer

import (
	"cmp"
	"slices"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
)

// Bounds of what a choice looks at in a large service.
const (
	shortlistFrom = 64 // ready endpoints of a group from which on a choice looks only at a shortlist
	shortlistBest = 32 // of those that have been called
	shortlistNew  = 16 // of those that have not
)

// service is all that the scheduler knows of one service.
type service struct {
	name      string
	endpoints []*endpoint // on the list
	versions  view.ServiceVersions
	groups    [2]group // the version in service, and the target
	credit    float64  // attempts that the target may get now
	extra     float64  // attempts above its share that it may still get
	kinds     [callKinds]*kind
	work      work
	budget    retryBudget
	load      serviceLoad
	safeAt    time.Duration // when a retryable request last came
	safeSeen  bool
	emptyAt   time.Duration // when its last endpoint left the list
}

// group is the ready endpoints of one version that may take requests.
type group struct {
	ready     []*endpoint // by hash
	hashes    []uint64    // of those
	order     []*endpoint // as this proxy tries those it hasn't called; nil in a small group
	shortlist []*endpoint
	listedAt  time.Duration
}

func newService(name string) *service {
	return &service{name: name, budget: newRetryBudget(), work: newWork()}
}

func (svc *service) kind(k callKind) *kind {
	if svc.kinds[k] == nil {
		svc.kinds[k] = newKind(k)
	}
	return svc.kinds[k]
}

func (svc *service) setVersions(v view.ServiceVersions) {
	if v.Target != svc.versions.Target || v.Order != svc.versions.Order {
		svc.credit, svc.extra = 0, v.InitialAllowance
	}
	svc.versions = v
}

// regroup sorts the listed endpoints by what they may take. Without word of the versions in service, all of them take
// requests if they are of one version, else none does.
func (svc *service) regroup(seed uint64) {
	current, single := svc.versions.Current, true
	if current == "" && len(svc.endpoints) > 0 {
		current = svc.endpoints[0].model.Version
		single = !slices.ContainsFunc(svc.endpoints, func(e *endpoint) bool { return e.model.Version != current })
	}
	for i := range svc.groups {
		svc.groups[i].ready = svc.groups[i].ready[:0]
	}
	for _, e := range svc.endpoints {
		e.ready, e.target = false, false
		if e.model.State != model.Ready || !single {
			continue
		}
		switch e.model.Version {
		case current:
			e.ready = true
			svc.groups[0].ready = append(svc.groups[0].ready, e)
		case svc.versions.Target:
			e.ready, e.target = true, true
			svc.groups[1].ready = append(svc.groups[1].ready, e)
		}
	}
	for i := range svc.groups {
		svc.groups[i].sort(seed)
	}
	svc.groups[1].concentrate(svc.versions.Share)
	for _, k := range svc.kinds {
		if k != nil {
			k.changed = true
		}
	}
}

// sort brings the group into an order that doesn't depend on that of the list.
func (g *group) sort(seed uint64) {
	byHash := func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.model.ID, b.model.ID))
	}
	slices.SortFunc(g.ready, byHash)
	g.hashes = g.hashes[:0]
	for _, e := range g.ready {
		g.hashes = append(g.hashes, e.hash)
	}
	g.order, g.shortlist = g.order[:0], g.shortlist[:0]
	if len(g.ready) < shortlistFrom {
		return
	}
	g.order = append(g.order, g.ready...)
	slices.SortFunc(g.order, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.zoneCharge, b.zoneCharge), cmp.Compare(a.tieBreak, b.tieBreak), byHash(a, b))
	})
}

// concentrate leaves out all but so many of the target's endpoints as its share would load like the whole service: a
// version that is bad only under load must show it before it gets all requests. All proxies keep the same ones.
func (g *group) concentrate(share float64) {
	if share <= 0 || share >= 1 || len(g.ready) == 0 {
		return
	}
	kept := max(1, int(share*float64(len(g.ready))))
	for _, e := range g.ready[kept:] {
		e.ready = false
	}
	g.ready, g.hashes = g.ready[:kept], g.hashes[:kept]
	g.order = slices.DeleteFunc(g.order, func(e *endpoint) bool { return !e.ready })
}

// pick returns the group that takes the request. The target gets at most its share of all attempts at the service,
// counted as they go out; requests of one affinity keep to one version as far as that allows.
func (svc *service) pick(affinity uint64) *group {
	current, target := &svc.groups[0], &svc.groups[1]
	switch share := svc.versions.Share; {
	case len(target.ready) == 0 || share <= 0:
		return current
	case share >= 1:
		return target
	case svc.credit < 1:
		return current
	case affinity != 0 && len(current.ready) > 0 && unit(mix(affinity)) >= share && svc.credit < creditMoves:
		return current
	}
	return target
}

// other returns the group that may take a request for which the first has no healthy endpoint; nil: there is none.
func (svc *service) other(g *group) *group {
	current, target := &svc.groups[0], &svc.groups[1]
	switch {
	case g == target && len(current.ready) > 0:
		return current
	case g == current && len(target.ready) > 0 && svc.versions.Share > 0 && svc.credit >= 1:
		return target
	}
	return nil
}

const (
	// creditMost is how many attempts the target may save up.
	creditMost = 2.0
	// creditMoves is the credit from which on requests go to the target that their affinity keeps elsewhere.
	creditMoves = 1.25
	// extraShare is the share that the target gets at first, as long as it may have more than its own.
	extraShare = 0.25
)

// earnCredit counts one attempt that goes out for the target's share.
func (svc *service) earnCredit(e *endpoint) {
	if svc.versions.Target == "" {
		return
	}
	svc.credit += svc.versions.Share
	if len(svc.groups[1].ready) > 0 {
		more := min(max(extraShare-svc.versions.Share, 0), svc.extra, max(creditMost-svc.credit, 0))
		svc.extra -= more
		svc.credit += more
	}
	svc.credit = min(svc.credit, creditMost)
	if e.target {
		svc.credit--
	}
}

// candidates returns those of the group that a choice looks at: all in a small group, and in a large one the best of
// those that have been called, and a few that haven't, this proxy's next in order.
func (g *group) candidates(svc *service, k *kind, now time.Duration) []*endpoint {
	if len(g.order) == 0 {
		return g.ready
	}
	if len(g.shortlist) > 0 && g.listedAt == k.solvedAt {
		return g.shortlist
	}
	g.listedAt = k.solvedAt
	usual := svc.load.usual(now)
	g.shortlist = g.shortlist[:0]
	for _, t := range k.called {
		if e := t.endpoint; e.ready && e.target == (g == &svc.groups[1]) {
			e.rank = t.figures.expected[1]*(1+e.crowd(e.running(now, usual))) + e.zoneCharge
			g.shortlist = append(g.shortlist, e)
		}
	}
	if len(g.shortlist) > shortlistBest {
		slices.SortFunc(g.shortlist, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.tieBreak, b.tieBreak))
		})
		g.shortlist = g.shortlist[:shortlistBest]
	}
	fresh := 0
	for _, e := range g.order {
		if e.tracks[k.kind] == nil && e.takes(now) {
			g.shortlist = append(g.shortlist, e)
			if fresh++; fresh == shortlistNew {
				break
			}
		}
	}
	return g.shortlist
}
