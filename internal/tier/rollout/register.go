// Package rollout keeps which version of each service's software is in service, takes orders to move a service to another
// one, and judges from what the proxies report whether the new version is good. It is pure.
package rollout

import (
	"cmp"
	"maps"
	"slices"

	"mastusher/internal/tier/view"
)

// State is how far an order has come.
type State string

// The states, as the operator reads them.
const (
	InService State = "in_service"
	Finished  State = "finished" // the target has taken the service over
	Reverted  State = "reverted" // the target was bad
)

// ApplyProposal asks to move a service's traffic to the endpoints of another version.
type Proposal struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	OverMs  int64  `json:"overMs"` // time in which it is to be done
	AtMs    int64  `json:"atMs"`   // time of day at which the owner took it

	// DedupExpiredIndex is the index up to which orders taken are no longer repeated by anyone, as the owner knows by its clocks.
	DedupExpiredIndex uint64 `json:"settled,omitempty"`

	Share         float64 `json:"share"` // of the service's requests that the target gets until it is judged
	ExtraRequests float64 `json:"extra"` // requests above that which each proxy may send it at first, so that they soon tell enough
}

// Bounds is what a bad version may get at most: a share of all requests at its service, and a number above that.
type Bounds struct {
	Share float64
	Slack float64
}

// The parts of the bounds that an order uses. The rest is for what is under way when it ends, for uneven loads, and for
// proxies that begin anew.
const (
	usedShare = 0.8
	usedSlack = 0.7
	// minProxies stands for the number of proxies where fewer are known: an owner may have started just now.
	minProxies = 8
)

// defaultShare is the share of a target where no bound is told.
const defaultShare = 0.05

// WithBounds gives an order the share and the extra that keep to the bounds with so many proxies.
func (o Proposal) WithBounds(bounds Bounds, proxies int) Proposal {
	o.Share = usedShare * bounds.Share
	if bounds.Share <= 0 {
		o.Share = defaultShare
	}
	o.ExtraRequests = usedSlack * bounds.Slack / float64(max(proxies, minProxies))
	return o
}

// ObservedVersion tells which version of a service was running before any order.
type ObservedVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Decision ends an order.
type Decision struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Order   uint64 `json:"order"` // index of the order's entry: the same target may be ordered again
	State   State  `json:"state"`
}

// Result is the outcome of an order.
type Result string

// The verdicts.
const (
	Accepted   Result = "taken"     // now, or before: exactly this order
	InProgress Result = "under_way" // another order of the service is being carried out
)

// Rollout is the newest order of a service.
type Rollout struct {
	Proposal
	Index    uint64 `json:"index"` // of the order's entry
	Baseline string `json:"from"`  // version in service when the order came
	State    State  `json:"state"`
}

// isDuplicate tells whether an order is the same as the one that this roll-out began with.
func (r *Rollout) isDuplicate(order *Proposal) bool {
	return r.Target == order.Target && r.OverMs == order.OverMs
}

// RecentProposal is an order that was taken so recently that it may come again.
type RecentProposal struct {
	Index   uint64 `json:"index"` // of its entry
	AtMs    int64  `json:"atMs"`  // time of day at which the owner took it
	Service string `json:"service"`
	Target  string `json:"target"`
	OverMs  int64  `json:"overMs"`
}

// StateMachine is the state machine.
type StateMachine struct {
	current  map[string]string // version in service
	rollouts map[string]Rollout
	recent   []RecentProposal // the oldest first
}

// New returns a register that knows no service.
func New() *StateMachine {
	return &StateMachine{current: map[string]string{}, rollouts: map[string]Rollout{}}
}

// ApplyProposal takes an order. What makes an order is its service, its target and its time. The same one again changes nothing as
// long as it is under way, and as long as it may be a repeat of one that has ended, whatever was ordered since; after that
// it begins a new roll-out. A target that is in service already is finished at once.
func (r *StateMachine) ApplyProposal(index uint64, order Proposal) Result {
	r.expireRecent(order.DedupExpiredIndex)
	roll, known := r.rollouts[order.Service]
	isUnderWay := known && roll.State == InService
	if isUnderWay && roll.isDuplicate(&order) || r.isRecentDuplicate(&order) {
		return Accepted
	}
	if isUnderWay {
		return InProgress
	}
	begun := Rollout{Proposal: order, Index: index, Baseline: r.current[order.Service], State: InService}
	if begun.Baseline == order.Target {
		begun.State = Finished
	}
	r.rollouts[order.Service] = begun
	r.recent = append(r.recent, RecentProposal{Index: index, AtMs: order.AtMs, Service: order.Service, Target: order.Target, OverMs: order.OverMs})
	return Accepted
}

// expireRecent forgets the orders that don't come again.
func (r *StateMachine) expireRecent(settled uint64) {
	r.recent = slices.DeleteFunc(r.recent, func(taken RecentProposal) bool { return taken.Index <= settled })
}

// isRecentDuplicate tells whether an order may be the repeat of one that was taken.
func (r *StateMachine) isRecentDuplicate(order *Proposal) bool {
	return slices.ContainsFunc(r.recent, func(taken RecentProposal) bool {
		return taken.Service == order.Service && taken.Target == order.Target && taken.OverMs == order.OverMs
	})
}

// RecentProposal lists the orders that may come again, the oldest first.
func (r *StateMachine) RecentProposals() []RecentProposal { return r.recent }

// ApplyObservedVersion records a service's version, unless one is known.
func (r *StateMachine) ApplyObservedVersion(seen ObservedVersion) {
	if r.current[seen.Service] == "" {
		r.current[seen.Service] = seen.Version
	}
}

// ApplyDecision ends an order that is in service; a later decision on it changes nothing.
func (r *StateMachine) ApplyDecision(decision Decision) {
	roll, known := r.rollouts[decision.Service]
	if !known || roll.State != InService || roll.Index != decision.Order {
		return
	}
	roll.State = decision.State
	r.rollouts[decision.Service] = roll
	if decision.State == Finished {
		r.current[decision.Service] = roll.Target
	}
}

// Rollout returns the newest order of a service.
func (r *StateMachine) Rollout(service string) (Rollout, bool) {
	roll, known := r.rollouts[service]
	return roll, known
}

// Current returns the version in service, or "" while it is not known.
func (r *StateMachine) Current(service string) string { return r.current[service] }

// Active lists the orders in service, by service.
func (r *StateMachine) Active() []Rollout {
	var open []Rollout
	for _, roll := range r.rollouts {
		if roll.State == InService {
			open = append(open, roll)
		}
	}
	slices.SortFunc(open, func(a, b Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return open
}

// Versions is what the proxies are told: the version in service, and for an order in service its target with the share of
// requests that it may get.
func (r *StateMachine) Versions() view.RolloutList {
	var list view.RolloutList
	for _, service := range slices.Sorted(maps.Keys(r.current)) {
		versions := view.ServiceVersions{Service: service, Current: r.current[service]}
		if roll, known := r.rollouts[service]; known && roll.State == InService && roll.Target != versions.Current {
			versions.Target, versions.Order, versions.Share, versions.InitialAllowance = roll.Target, roll.Index, roll.Share, roll.ExtraRequests
		}
		list.Services = append(list.Services, versions)
	}
	return list
}

// Snapshot is the register as a snapshot holds it.
type Snapshot struct {
	Current  map[string]string  `json:"current"`
	Rollouts map[string]Rollout `json:"rolls"`
	Recent   []RecentProposal   `json:"recent,omitempty"`
}

// Snapshot returns the whole register.
func (r *StateMachine) Snapshot() Snapshot {
	return Snapshot{Current: r.current, Rollouts: r.rollouts, Recent: r.recent}
}

// Restore returns the register that a snapshot holds.
func Restore(saved Snapshot) *StateMachine {
	r := New()
	maps.Copy(r.current, saved.Current)
	maps.Copy(r.rollouts, saved.Rollouts)
	r.recent = slices.Clone(saved.Recent)
	return r
}
