package fleettest

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Intervals of the traffic during a day, and bounds of its faults and checks.
const (
	programInterval      = 350 * time.Millisecond
	orderInterval        = 1200 * time.Millisecond
	operatorReadInterval = 1700 * time.Millisecond
	versionPollInterval  = 150 * time.Millisecond
	ackTimeout           = 3 * time.Second
	maxTurns             = 4                // turns of a program
	settlingTime         = 6 * time.Second  // of traffic after the span of the plan
	recoveryTimeout      = 25 * time.Second // within which the tier must serve again once the faults are over
	slowSyncTime         = 120 * time.Millisecond
	freeBytes            = 200  // left on a full disk
	maxSyncFactor        = 4    // slowest sync of a healthy disk, as a multiple of Options.SyncTime
	continuedShare       = 0.15 // share of programs that continue a turn of another
)

// day is the run of one plan: its fleet and the state of its traffic.
type day struct {
	*Fleet
	plan          Plan
	newestVersion uint64 // number of the newest configuration that an operator knows
	sending       bool   // an order of the first operator awaits its answer
	over          bool   // the traffic has ended
}

// Result holds the violations and the counts of a day.
type Result struct {
	Violations []string
	Orders     int // acknowledged
	Reads      int
	Runs       int
	Complete   int // requests answered completely
	Programs   int // programs that ended as complete
}

// Run runs the day of a plan and returns its result.
func Run(plan Plan, options Options) Result {
	options.Seed = plan.Seed
	if options.Conditions == (Conditions{}) && plan.Seed%3 == 0 {
		options.Conditions = Conditions{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.05}
	}
	if options.CompactBytes == 0 && plan.Seed%2 == 0 {
		options.CompactBytes = 3 << 10
	}
	d := &day{Fleet: New(options), plan: plan}
	for _, m := range d.quorumMachines() {
		m.syncTime = d.loop.between(d.options.SyncTime/2, maxSyncFactor*d.options.SyncTime)
	}
	d.Boot()
	d.startTraffic()
	for _, fault := range plan.Faults {
		d.loop.After(fault.At, func() { d.inject(fault) })
	}
	d.RunFor(plan.Span + settlingTime)
	d.endFaults()
	d.checkRecovery()
	return d.result()
}

// startTraffic starts the operators' and clients' traffic for the day.
func (d *day) startTraffic() {
	d.every(orderInterval, d.order)
	d.every(operatorReadInterval, func() { d.operators[1].get() })
	d.every(versionPollInterval, d.clients.pollVersions)
	d.every(programInterval, func() {
		budget := int64(0)
		if d.loop.withProbability(0.5) {
			budget = int64(maxTurnTokens * (1 + d.loop.random.IntN(2*maxTurns)))
		}
		if d.loop.withProbability(continuedShare) {
			d.clients.continueProgram(1+d.loop.random.IntN(maxTurns), budget, d.completeTurn())
			return
		}
		d.clients.runProgram(1+d.loop.random.IntN(maxTurns), budget, d.loop.withProbability(0.3), nil)
	})
}

// completeTurn returns the id of a random recent turn that was answered completely; empty if it finds none.
func (d *day) completeTurn() string {
	sent := d.history.requests
	for range 20 {
		if len(sent) == 0 {
			break
		}
		r := sent[len(sent)-1-d.loop.random.IntN(min(len(sent), 200))]
		if r.IsTurn && r.Outcome == outcomeComplete && d.Now()-r.Ended < retention/2 {
			return r.ID
		}
	}
	return ""
}

// every calls run repeatedly, after 0.5 to 1.5 times the interval, until the traffic ends.
func (d *day) every(interval time.Duration, run func()) {
	d.loop.After(d.loop.between(interval/2, 3*interval/2), func() {
		if d.over {
			return
		}
		run()
		d.every(interval, run)
	})
}

// order sends the first operator's next order, unless the previous one has no answer yet.
func (d *day) order() {
	if d.sending {
		return
	}
	d.sending = true
	d.send(d.operators[0], func() { d.sending = false })
}

// send has an operator send an order on the newest version that is known, and calls done once it has an answer.
func (d *day) send(o *operator, done func()) {
	base := d.newestVersion
	sent := o.put(base, base+1+uint64(d.loop.random.IntN(2)))
	d.whenAnswered(sent, func() {
		done()
		if sent.Status == http.StatusOK {
			d.newestVersion = max(d.newestVersion, sent.Content.Number)
			return
		}
		d.refreshVersion(o)
	})
}

// refreshVersion has an operator read the configuration after a refusal, to learn the newest version.
func (d *day) refreshVersion(o *operator) {
	read := o.get()
	d.loop.After(500*time.Millisecond, func() {
		if read.Ended != 0 {
			d.newestVersion = max(d.newestVersion, read.Content.Number)
		}
	})
}

// whenAnswered calls done once an order has an answer, unless the traffic ends before.
func (d *day) whenAnswered(sent *order, done func()) {
	d.loop.After(20*time.Millisecond, func() {
		if sent.Ended != 0 {
			done()
			return
		}
		if !d.over {
			d.whenAnswered(sent, done)
		}
	})
}

// endFaults ends all faults and starts the machines that are down.
func (d *day) endFaults() {
	d.onAcknowledged = nil
	d.Heal()
	for _, m := range d.machines {
		if m.removed {
			continue
		}
		d.endMachineFaults(m)
		m.start()
	}
	for _, o := range d.operators {
		o.ackLossRate = 0
	}
}

// endMachineFaults ends the faults of a machine, its disk and its endpoint.
func (d *day) endMachineFaults(m *Machine) {
	m.thaw()
	m.resumeDisk()
	m.syncTime, m.syncFails = d.options.SyncTime, false
	if m.disk != nil {
		m.disk.SetCapacity(0)
	}
	for _, p := range m.processes {
		if served, ok := p.handler.(*endpoint); ok {
			served.neverAnswers = false
		}
	}
}

// checkRecovery ends the traffic and checks that the tier serves again.
func (d *day) checkRecovery() {
	d.over = true
	read := d.operators[0].get()
	if !d.Until(recoveryTimeout, func() bool { return read.Ended != 0 }) {
		d.report("RECOVER", "no read of the configuration succeeded in time")
		return
	}
	last := d.operators[0].put(read.Content.Number, read.Content.Number+3)
	d.Until(recoveryTimeout, func() bool { return last.Ended != 0 })
	if last.Ended == 0 {
		d.report("RECOVER", "the last order got no answer in time")
	}
	if !d.Until(recoveryTimeout, func() bool { return d.allServe(last) }) {
		d.report("RECOVER", "%d of %d proxies are ready with the newest configuration", len(d.readyProxies()), len(d.edges))
	}
	for program := range 3 {
		d.checkProgramRuns(program)
	}
	d.clients.pollVersions()
	d.RunFor(time.Second)
}

// checkProgramRuns checks that a program completes within three attempts.
func (d *day) checkProgramRuns(program int) {
	var ended *request
	for range 3 {
		ended = nil
		d.clients.runProgram(2, 0, false, func(r *request) { ended = r })
		if d.Until(recoveryTimeout, func() bool { return ended != nil }) && ended.Outcome == outcomeComplete {
			return
		}
	}
	d.report("RECOVER", "program %d did not complete: %s", program, describe(ended))
}

func describe(r *request) string {
	if r == nil {
		return "no answer in time"
	}
	return fmt.Sprintf("outcome %d, status %d", r.Outcome, r.Status)
}

// allServe reports whether all proxies are ready, with a configuration in force that is at least as new as the last order if that was
// accepted.
func (d *day) allServe(last *order) bool {
	for _, m := range d.edges {
		serving, ok := m.processes[1].handler.(*proxy)
		if !ok || !serving.ready() || serving.config.Version < last.Content.Number && last.Status == http.StatusOK {
			return false
		}
	}
	return true
}

func (d *day) result() Result {
	result := Result{Violations: slices.Compact(d.Violations()), Reads: len(d.history.reads), Runs: len(d.history.runs), Programs: d.clients.complete}
	for _, o := range d.history.orders {
		if o.Status == http.StatusOK {
			result.Orders++
		}
	}
	for _, r := range d.history.requests {
		if r.Outcome == outcomeComplete {
			result.Complete++
		}
	}
	return result
}
