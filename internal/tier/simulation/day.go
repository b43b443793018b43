package simulation

import (
	"sync"
	"time"

	"mastusher/internal/tier/standin"
)

// Intervals of the traffic during a day, and bounds of the checks after it.
const (
	programInterval  = 700 * time.Millisecond
	orderInterval    = 1200 * time.Millisecond
	readInterval     = 1700 * time.Millisecond
	maxTurns         = 4 // turns of a program
	recoveryTimeout  = 25 * time.Second
	recoveryAttempts = 6
)

// day is the run of one plan: its fleet, its traffic and its faults.
type day struct {
	*Fleet
	plan           Plan
	firstOperator  *operator
	secondOperator *operator
	clients        *clients
	traffic        sync.WaitGroup

	// The fleet's mutex guards these.
	newestVersion uint64 // number of the newest configuration that an operator knows
	stopping      bool
	ackFault      func(controller *machine) // called once, with the controller that acknowledges the next order
	shards        int                       // expected number of shards
}

// runDay runs a plan to the end of its checks and closes the fleet. It must be called inside a bubble.
func runDay(plan Plan, folder string, trace func(format string, arguments ...any)) (*Fleet, error) {
	options := Options{Seed: plan.Seed, Folder: folder, Trace: trace}
	if plan.Large {
		options.Controllers, options.Stores, options.Edges = 5, 6, 3
	}
	f, err := New(options)
	if err != nil {
		return nil, err
	}
	d := &day{Fleet: f, plan: plan, firstOperator: newOperator(f, "a"), secondOperator: newOperator(f, "b"), clients: newClients(f)}
	f.onAcknowledgement = d.onAcknowledgement
	d.startFleet()
	d.startTraffic()
	for _, fault := range plan.Faults {
		f.after(fault.At, func() { d.inject(fault) })
	}
	time.Sleep(DayLength)
	d.stopTraffic()
	d.checkRecovery()
	f.Close()
	return f, nil
}

// startFleet starts the fleet with its first configuration.
func (d *day) startFleet() {
	d.StartAll()
	if status := d.firstOperator.order(0, d.firstOperator.next(1)); status != statusOK {
		d.report("BEGIN", "the first configuration got status %d, want 200", status)
	}
	d.recordVersion(1)
	if !d.waitUntil(recoveryTimeout, func() bool { return d.allReady(d.clients) }) {
		d.report("BEGIN", "not all proxies became ready in time")
	}
	d.goroutines.Go(d.clients.pollReadiness)
	for d.shards = 1; d.shards < d.options.Stores; d.shards *= 2 {
	}
	if !d.waitUntil(recoveryTimeout, func() bool { return d.completeShards() == d.shards }) {
		d.report("BEGIN", "%d of %d shards have all their replicas", d.completeShards(), d.shards)
	}
}

// startTraffic starts the calls of operators and clients, which continue until the day ends.
func (d *day) startTraffic() {
	d.every(orderInterval, func() { d.order(d.firstOperator) })
	d.every(readInterval, func() {
		if read, ok := d.secondOperator.read(d.secondOperator.someController()); ok {
			d.recordVersion(read.Number)
		}
	})
	d.traffic.Go(func() {
		for !d.isStopping() {
			d.traffic.Go(d.program)
			time.Sleep(d.jitter(programInterval))
		}
	})
}

// every calls run after each interval, one call at a time, until the day ends.
func (d *day) every(interval time.Duration, run func()) {
	d.traffic.Go(func() {
		for time.Sleep(d.jitter(interval)); !d.isStopping(); time.Sleep(d.jitter(interval)) {
			run()
		}
	})
}

// jitter returns a random duration between 0.5 and 1.5 times an interval.
func (d *day) jitter(interval time.Duration) time.Duration {
	return interval/2 + time.Duration(d.intN(int(interval)))
}

// program runs one program. Some programs have a budget, and some continue a turn of an earlier program.
func (d *day) program() {
	budget, previous := int64(0), standin.Turn{}
	if d.intN(2) == 0 {
		budget = int64(maxTokens * (1 + d.intN(2*maxTurns)))
	}
	if turns := d.history.completeTurns(); len(turns) > 0 && d.intN(4) == 0 {
		previous = turns[d.intN(len(turns))]
	}
	if !previous.Ended.IsZero() && time.Since(previous.Ended) > retention/4 {
		previous = standin.Turn{}
	}
	d.clients.runProgram(1+d.intN(maxTurns), budget, previous)
}

func (d *day) isStopping() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stopping
}

// onAcknowledgement injects the pending ackFault, if any, into the controller at the address, which has acknowledged an order.
func (d *day) onAcknowledgement(address string) {
	d.mutex.Lock()
	inject := d.ackFault
	d.ackFault = nil
	d.mutex.Unlock()
	if inject == nil {
		return
	}
	for _, m := range d.machinesOf(coreClass) {
		if m.address(controlPort) == address {
			d.goroutines.Go(func() { inject(m) })
		}
	}
}

// stopTraffic ends the traffic and all faults, and starts the machines that are down.
func (d *day) stopTraffic() {
	d.mutex.Lock()
	d.stopping, d.ackFault = true, nil
	d.mutex.Unlock()
	time.Sleep(maxFaultTime + gracePeriod) // by then, all faults have ended by themselves, and stopped machines have started again
	machines := d.machinesOf(coreClass, storageClass, edgeClass)
	for _, m := range machines {
		for _, other := range machines {
			if m != other {
				d.heal(m, other)
			}
		}
		m.host.Thaw()
		m.startAll()
	}
	d.traffic.Wait()
}
