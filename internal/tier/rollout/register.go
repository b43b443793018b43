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

// Order asks to move a service's traffic to the endpoints of another version.
type Order struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	OverMs  int64  `json:"overMs"` // time in which it is to be done
	AtMs    int64  `json:"atMs"`   // time of day at which the owner took it

	// Settled is the index up to which orders taken are no longer repeated by anyone, as the owner knows by its clocks.
	Settled uint64 `json:"settled,omitempty"`

	Share float64 `json:"share"` // of the service's requests that the target gets until it is judged
	Extra float64 `json:"extra"` // requests above that which each proxy may send it at first, so that they soon tell enough
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
	// leastProxies stands for the number of proxies where fewer are known: an owner may have started just now.
	leastProxies = 8
)

// untoldShare is the share of a target where no bound is told.
const untoldShare = 0.05

// Within gives an order the share and the extra that keep to the bounds with so many proxies.
func (o Order) Within(bounds Bounds, proxies int) Order {
	o.Share = usedShare * bounds.Share
	if bounds.Share <= 0 {
		o.Share = untoldShare
	}
	o.Extra = usedSlack * bounds.Slack / float64(max(proxies, leastProxies))
	return o
}

// Seen tells which version of a service was running before any order.
type Seen struct {
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

// Verdict is the outcome of an order.
type Verdict string

// The verdicts.
const (
	Taken    Verdict = "taken"     // now, or before: exactly this order
	UnderWay Verdict = "under_way" // another order of the service is being carried out
)

// Roll is the newest order of a service.
type Roll struct {
	Order
	Index uint64 `json:"index"` // of the order's entry
	From  string `json:"from"`  // version in service when the order came
	State State  `json:"state"`
}

// isRepeat tells whether an order is the same as the one that this roll-out began with.
func (r *Roll) isRepeat(order *Order) bool {
	return r.Target == order.Target && r.OverMs == order.OverMs
}

// Recent is an order that was taken so recently that it may come again.
type Recent struct {
	Index   uint64 `json:"index"` // of its entry
	AtMs    int64  `json:"atMs"`  // time of day at which the owner took it
	Service string `json:"service"`
	Target  string `json:"target"`
	OverMs  int64  `json:"overMs"`
}

// Register is the state machine.
type Register struct {
	current map[string]string // version in service
	rolls   map[string]Roll
	recent  []Recent // the oldest first
}

// New returns a register that knows no service.
func New() *Register { return &Register{current: map[string]string{}, rolls: map[string]Roll{}} }

// Order takes an order. What makes an order is its service, its target and its time. The same one again changes nothing as
// long as it is under way, and as long as it may be a repeat of one that has ended, whatever was ordered since; after that
// it begins a new roll-out. A target that is in service already is finished at once.
func (r *Register) Order(index uint64, order Order) Verdict {
	r.settle(order.Settled)
	roll, known := r.rolls[order.Service]
	isUnderWay := known && roll.State == InService
	if isUnderWay && roll.isRepeat(&order) || r.wasTaken(&order) {
		return Taken
	}
	if isUnderWay {
		return UnderWay
	}
	begun := Roll{Order: order, Index: index, From: r.current[order.Service], State: InService}
	if begun.From == order.Target {
		begun.State = Finished
	}
	r.rolls[order.Service] = begun
	r.recent = append(r.recent, Recent{Index: index, AtMs: order.AtMs, Service: order.Service, Target: order.Target, OverMs: order.OverMs})
	return Taken
}

// settle forgets the orders that don't come again.
func (r *Register) settle(settled uint64) {
	r.recent = slices.DeleteFunc(r.recent, func(taken Recent) bool { return taken.Index <= settled })
}

// wasTaken tells whether an order may be the repeat of one that was taken.
func (r *Register) wasTaken(order *Order) bool {
	return slices.ContainsFunc(r.recent, func(taken Recent) bool {
		return taken.Service == order.Service && taken.Target == order.Target && taken.OverMs == order.OverMs
	})
}

// Recent lists the orders that may come again, the oldest first.
func (r *Register) Recent() []Recent { return r.recent }

// See records a service's version, unless one is known.
func (r *Register) See(seen Seen) {
	if r.current[seen.Service] == "" {
		r.current[seen.Service] = seen.Version
	}
}

// Decide ends an order that is in service; a later decision on it changes nothing.
func (r *Register) Decide(decision Decision) {
	roll, known := r.rolls[decision.Service]
	if !known || roll.State != InService || roll.Index != decision.Order {
		return
	}
	roll.State = decision.State
	r.rolls[decision.Service] = roll
	if decision.State == Finished {
		r.current[decision.Service] = roll.Target
	}
}

// Roll returns the newest order of a service.
func (r *Register) Roll(service string) (Roll, bool) {
	roll, known := r.rolls[service]
	return roll, known
}

// Current returns the version in service, or "" while it is not known.
func (r *Register) Current(service string) string { return r.current[service] }

// Open lists the orders in service, by service.
func (r *Register) Open() []Roll {
	var open []Roll
	for _, roll := range r.rolls {
		if roll.State == InService {
			open = append(open, roll)
		}
	}
	slices.SortFunc(open, func(a, b Roll) int { return cmp.Compare(a.Service, b.Service) })
	return open
}

// Versions is what the proxies are told: the version in service, and for an order in service its target with the share of
// requests that it may get.
func (r *Register) Versions() view.RolloutList {
	var list view.RolloutList
	for _, service := range slices.Sorted(maps.Keys(r.current)) {
		versions := view.ServiceVersions{Service: service, Current: r.current[service]}
		if roll, known := r.rolls[service]; known && roll.State == InService && roll.Target != versions.Current {
			versions.Target, versions.Order, versions.Share, versions.InitialAllowance = roll.Target, roll.Index, roll.Share, roll.Extra
		}
		list.Services = append(list.Services, versions)
	}
	return list
}

// Saved is the register as a snapshot holds it.
type Saved struct {
	Current map[string]string `json:"current"`
	Rolls   map[string]Roll   `json:"rolls"`
	Recent  []Recent          `json:"recent,omitempty"`
}

// Saved returns the whole register.
func (r *Register) Saved() Saved { return Saved{Current: r.current, Rolls: r.rolls, Recent: r.recent} }

// Restore returns the register that a snapshot holds.
func Restore(saved Saved) *Register {
	r := New()
	maps.Copy(r.current, saved.Current)
	maps.Copy(r.rolls, saved.Rolls)
	r.recent = slices.Clone(saved.Recent)
	return r
}
