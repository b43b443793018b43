package soak

import (
	"context"
	"slices"
	"time"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/wait"
)

// inject injects a fault, and removes it after its duration.
func (r *run) inject(ctx context.Context, fault Fault) {
	r.report("FAULT %s for %v at %d", fault.Kind, fault.For, fault.Target)
	defer r.report("END OF %s at %d", fault.Kind, fault.Target)
	sleep := func() { _ = wait.Sleep(ctx, fault.For) }
	switch fault.Kind {
	case KillOne, KillSome, KillStores, KillControllers, KillAll:
		killed := r.targets(fault)
		killUntilReleased(killed)
		sleep()
		releaseAll(killed)
	case PauseOne, PauseSome:
		for _, s := range r.targets(fault) {
			s.pause()
			defer s.resume()
		}
		sleep()
	case Terminate:
		s := r.services[fault.Target%len(r.services)]
		s.terminate()
		s.release()
	case LoseDisk:
		r.loseDisk(ctx, fault)
	case DropAcks:
		r.operator.dropping.Add(1)
		sleep()
		r.operator.dropping.Add(-1)
	case DropResponses:
		r.clients.dropping.Add(1)
		sleep()
		r.clients.dropping.Add(-1)
	default:
		r.injectPartition(fault, sleep)
	}
}

// targets returns the services that a fault affects, in the order of their numbers.
func (r *run) targets(fault Fault) []*service {
	ofRole := func(role string) []*service {
		return slices.DeleteFunc(slices.Clone(r.services), func(s *service) bool { return s.Role != role })
	}
	switch fault.Kind {
	case KillStores:
		return ofRole(localtier.StoreRole)
	case KillControllers:
		return ofRole(localtier.ControllerRole)
	case KillSome, PauseSome:
		chosen := slices.Clone(r.services)
		for range len(r.services) - fault.Count {
			at := r.intN(len(chosen))
			chosen = slices.Delete(chosen, at, at+1)
		}
		return chosen
	case KillAll:
		return r.services
	default:
		at := fault.Target % len(r.services)
		return r.services[at : at+1]
	}
}

// releaseAll releases each service.
func releaseAll(services []*service) {
	for _, s := range services {
		s.release()
	}
}

// diskServices returns the services that have a disk.
func (r *run) diskServices() []*service {
	return slices.DeleteFunc(slices.Clone(r.services), func(s *service) bool { return s.Machine.Class == localtier.EdgeClass })
}

// loseDisk kills a process and empties its disk, once all replicas have caught up: the tier tolerates one lost disk at a time.
// If they have not within diskTimeout, it only kills the process.
func (r *run) loseDisk(ctx context.Context, fault Fault) {
	r.diskMutex.Lock()
	defer r.diskMutex.Unlock()
	candidates := r.diskServices()
	lost := candidates[fault.Target%len(candidates)]
	caughtUp := r.awaitCaughtUp(ctx, diskTimeout)
	killUntilReleased([]*service{lost})
	defer lost.release()
	if caughtUp {
		r.emptyDisk(lost)
	}
	_ = wait.Sleep(ctx, fault.For)
}

// diskTimeout bounds how long a LoseDisk fault waits for all replicas to catch up.
const diskTimeout = 10 * time.Second

// emptyDisk empties the disk of a service that is held down.
func (r *run) emptyDisk(lost *service) {
	r.report("%v loses its disk", lost)
	if err := lost.LoseDisk(); err != nil {
		r.recordViolation("HARNESS", "%v", err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.DisksLost++
}

// injectPartition partitions the network between machines, and heals it once sleep returns.
func (r *run) injectPartition(fault Fault, sleep func()) {
	machines := r.tier.Machines
	target, other := machines[fault.Target%len(machines)], machines[(fault.Target+fault.Count)%len(machines)]
	change := func(by int) { // 1 starts the partition, -1 ends it
		switch fault.Kind {
		case IsolateMachine:
			r.partition(target, machines, by)
		case PartitionPair:
			r.partition(target, []localtier.Machine{other}, by)
		case DropOutbound:
			for _, m := range machines {
				r.dropFrom(m, []localtier.Machine{target}, by)
			}
		case PartitionHalves:
			r.partitionHalves(fault.Target%2, by)
		default:
			r.recordViolation("HARNESS", "unknown kind of fault %q", fault.Kind)
		}
	}
	change(1)
	sleep()
	change(-1)
}

// partitionHalves starts (by 1) or ends (by -1) a partition between the machines whose index modulo 2 is remainder and the others.
func (r *run) partitionHalves(remainder, by int) {
	var half, others []localtier.Machine
	for index, m := range r.tier.Machines {
		if index%2 == remainder {
			half = append(half, m)
		} else {
			others = append(others, m)
		}
	}
	for _, m := range half {
		r.partition(m, others, by)
	}
}

// partition starts (by 1) or ends (by -1) a partition between a machine and others, in both directions.
func (r *run) partition(m localtier.Machine, others []localtier.Machine, by int) {
	r.dropFrom(m, others, by)
	for _, other := range others {
		r.dropFrom(other, []localtier.Machine{m}, by)
	}
}

// dropFrom starts (by 1) or stops (by -1) dropping what a machine would receive from others.
func (r *run) dropFrom(to localtier.Machine, from []localtier.Machine, by int) {
	if err := r.partitions.add(to, from, by); err != nil {
		r.recordViolation("HARNESS", "%v", err)
	}
}

// injectClosing injects the closing fault: everything is killed, with a lost disk or without, and restarts one by one in a
// random order.
func (r *run) injectClosing(ctx context.Context) {
	candidates := r.diskServices()
	lost := candidates[r.plan.Closing.Target%len(candidates)]
	losesDisk := r.plan.Closing.Kind == LoseDisk
	if losesDisk && !r.awaitCaughtUp(ctx, caughtUpBound) {
		r.recordViolation("WHOLE", "%v, %v after the end of all faults", r.queryGroups(ctx), caughtUpBound)
		losesDisk = false
	}
	r.report("CLOSING: everything is killed")
	killUntilReleased(r.services)
	if losesDisk {
		r.emptyDisk(lost)
	}
	_ = wait.Sleep(ctx, r.plan.Closing.For)
	order := slices.Clone(r.services)
	r.mutex.Lock()
	r.random.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	r.mutex.Unlock()
	for _, s := range order {
		s.release()
		_ = wait.Sleep(ctx, r.plan.Spread/time.Duration(len(order)))
	}
	r.report("all processes are restarted")
}
