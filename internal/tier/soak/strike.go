package soak

import (
	"context"
	"slices"
	"time"

	"mastusher/internal/tier/localtier"
)

// strike brings a trouble about and ends it.
func (r *run) strike(ctx context.Context, trouble Trouble) {
	r.tell("TROUBLE %s for %v at %d", trouble.Kind, trouble.For, trouble.Target)
	defer r.tell("END OF %s at %d", trouble.Kind, trouble.Target)
	lasting := func() { _ = localtier.Pause(ctx, trouble.For) }
	switch trouble.Kind {
	case KillOne, KillSome, KillStores, KillControllers, KillAll:
		chosen := r.chosen(trouble)
		holdDown(chosen)
		lasting()
		releaseAll(chosen)
	case PauseOne, PauseSome:
		for _, s := range r.chosen(trouble) {
			s.pause()
			defer s.goOn()
		}
		lasting()
	case Terminate:
		s := r.services[trouble.Target%len(r.services)]
		s.terminate()
		s.release()
	case LoseDisk:
		r.loseDisk(ctx, trouble)
	case LoseAcks:
		r.operator.losing.Add(1)
		lasting()
		r.operator.losing.Add(-1)
	case LoseAnswers:
		r.clients.losing.Add(1)
		lasting()
		r.clients.losing.Add(-1)
	default:
		r.strikeLinks(trouble, lasting)
	}
}

// chosen returns the services that a trouble is about, in the order of their numbers.
func (r *run) chosen(trouble Trouble) []*service {
	ofRole := func(role string) []*service {
		return slices.DeleteFunc(slices.Clone(r.services), func(s *service) bool { return s.Role != role })
	}
	switch trouble.Kind {
	case KillStores:
		return ofRole(localtier.StoreRole)
	case KillControllers:
		return ofRole(localtier.ControllerRole)
	case KillSome, PauseSome:
		some := slices.Clone(r.services)
		for range len(r.services) - trouble.Count {
			at := r.intN(len(some))
			some = slices.Delete(some, at, at+1)
		}
		return some
	case KillAll:
		return r.services
	default:
		at := trouble.Target % len(r.services)
		return r.services[at : at+1]
	}
}

func releaseAll(services []*service) {
	for _, s := range services {
		s.release()
	}
}

// counting lists the services that have a disk.
func (r *run) counting() []*service {
	return slices.DeleteFunc(slices.Clone(r.services), func(s *service) bool { return s.Machine.Class == localtier.EdgeClass })
}

// loseDisk takes a disk away, once all groups are whole; if they aren't in time, it kills the process without.
func (r *run) loseDisk(ctx context.Context, trouble Trouble) {
	r.diskTurn.Lock()
	defer r.diskTurn.Unlock()
	counting := r.counting()
	lost := counting[trouble.Target%len(counting)]
	whole := r.awaitWhole(ctx, diskPatience)
	holdDown([]*service{lost})
	defer lost.release()
	if whole {
		r.emptyDisk(lost)
	}
	_ = localtier.Pause(ctx, trouble.For)
}

// diskPatience is how long a lost disk waits for all groups to be whole.
const diskPatience = 10 * time.Second

// emptyDisk takes the disk of a service that is down.
func (r *run) emptyDisk(lost *service) {
	r.tell("%v loses its disk", lost)
	if err := lost.LoseDisk(); err != nil {
		r.violate("HARNESS", "%v", err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Disks++
}

// strikeLinks cuts machines from others.
func (r *run) strikeLinks(trouble Trouble, lasting func()) {
	machines := r.tier.Machines
	target, other := machines[trouble.Target%len(machines)], machines[(trouble.Target+trouble.Count)%len(machines)]
	all := func(by int) {
		switch trouble.Kind {
		case CutMachine:
			r.cut(target, machines, by)
		case CutPair:
			r.cut(target, []localtier.Machine{other}, by)
		case CutOut:
			for _, m := range machines {
				r.cutFrom(m, []localtier.Machine{target}, by)
			}
		case CutHalves:
			for at, m := range machines {
				if at%2 == trouble.Target%2 {
					r.cut(m, slices.DeleteFunc(slices.Clone(machines), func(n localtier.Machine) bool { return slices.Index(names(machines), n.Name)%2 == at%2 }), by)
				}
			}
		default:
			r.violate("HARNESS", "no trouble of the kind %q", trouble.Kind)
		}
	}
	all(1)
	lasting()
	all(-1)
}

func names(machines []localtier.Machine) []string {
	var all []string
	for _, m := range machines {
		all = append(all, m.Name)
	}
	return all
}

// cut has a machine and others get nothing from each other, or ends that.
func (r *run) cut(m localtier.Machine, others []localtier.Machine, by int) {
	r.cutFrom(m, others, by)
	for _, other := range others {
		r.cutFrom(other, []localtier.Machine{m}, by)
	}
}

func (r *run) cutFrom(to localtier.Machine, from []localtier.Machine, by int) {
	if err := r.cuts.add(to, from, by); err != nil {
		r.violate("HARNESS", "%v", err)
	}
}

// close brings the closing trouble about: everything is killed, with a lost disk or without, and comes back one by one.
func (r *run) close(ctx context.Context) {
	counting := r.counting()
	lost := counting[r.plan.Closing.Target%len(counting)]
	loses := r.plan.Closing.Kind == LoseDisk
	if loses && !r.awaitWhole(ctx, wholeBound) {
		r.violate("WHOLE", "%v, %v after the end of all troubles", r.groups(ctx), wholeBound)
		loses = false
	}
	r.tell("CLOSING: everything is killed")
	holdDown(r.services)
	if loses {
		r.emptyDisk(lost)
	}
	_ = localtier.Pause(ctx, r.plan.Closing.For)
	order := slices.Clone(r.services)
	r.mutex.Lock()
	r.random.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	r.mutex.Unlock()
	for _, s := range order {
		s.release()
		_ = localtier.Pause(ctx, r.plan.Spread/time.Duration(len(order)))
	}
	r.tell("everything is back")
}
