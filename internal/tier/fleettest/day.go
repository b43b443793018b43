package fleettest

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Paces of those who use the tier during a day.
const (
	programInterval      = 350 * time.Millisecond
	orderInterval        = 1200 * time.Millisecond
	operatorReadInterval = 1700 * time.Millisecond
	versionPollInterval  = 150 * time.Millisecond
	ackTimeout           = 3 * time.Second
	maxTurns             = 4 // turns
	settlingTime         = 6 * time.Second
	recoveryTimeout      = 25 * time.Second // within which all must serve again once the faults are over
	slowSyncTime         = 120 * time.Millisecond
	freeBytes            = 200
	maxSyncFactor        = 4    // times the usual
	continuedShare       = 0.15 // share of programs that continue a turn of another
)

// day is the run of one plan: its fleet and the state of its traffic.
type day struct {
	*Fleet
	plan          Plan
	newestVersion uint64 // number of the newest version that an operator knows of
	sending       bool
	over          bool
}

// Result is what came of a day.
type Result struct {
	Violations []string
	Orders     int // acknowledged
	Reads      int
	Runs       int
	Complete   int // turns and calls answered completely
	Programs   int // that ended complete
}

// Run runs a plan and returns what it showed.
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

// completeTurn picks a turn that was answered completely lately; empty: there is none.
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

// every calls run at random intervals until the day is over.
func (d *day) every(pace time.Duration, run func()) {
	d.loop.After(d.loop.between(pace/2, 3*pace/2), func() {
		if d.over {
			return
		}
		run()
		d.every(pace, run)
	})
}

// order sends the next version; one that takes long is left to be resent.
func (d *day) order() {
	if d.sending {
		return
	}
	d.sending = true
	d.send(d.operators[0], func() { d.sending = false })
}

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

// refreshVersion has an operator read which version is in force, after a refusal.
func (d *day) refreshVersion(o *operator) {
	read := o.get()
	d.loop.After(500*time.Millisecond, func() {
		if read.Ended != 0 {
			d.newestVersion = max(d.newestVersion, read.Content.Number)
		}
	})
}

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

// endFaults ends all faults.
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

// endMachineFaults ends the faults of a machine that runs.
func (d *day) endMachineFaults(m *Machine) {
	m.thaw()
	m.resumeDisk()
	m.syncTime, m.syncFails = d.options.SyncTime, false
	if m.disk != nil {
		m.disk.SetCapacity(0)
	}
	for _, p := range m.processes {
		if stuck, ok := p.handler.(*endpoint); ok {
			stuck.stuck = false
		}
	}
}

// checkRecovery checks that all serve again once the faults are over.
func (d *day) checkRecovery() {
	d.over = true
	read := d.operators[0].get()
	if !d.Until(recoveryTimeout, func() bool { return read.Ended != 0 }) {
		d.report("RECOVER", "the configuration is not read back")
		return
	}
	last := d.operators[0].put(read.Content.Number, read.Content.Number+3)
	d.Until(recoveryTimeout, func() bool { return last.Ended != 0 })
	if last.Ended == 0 {
		d.report("RECOVER", "an order is not answered")
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

func (d *day) checkProgramRuns(program int) {
	var ended *request
	for range 3 {
		ended = nil
		d.clients.runProgram(2, 0, false, func(r *request) { ended = r })
		if d.Until(recoveryTimeout, func() bool { return ended != nil }) && ended.Outcome == outcomeComplete {
			return
		}
	}
	d.report("RECOVER", "program %d is not served: %s", program, describe(ended))
}

func describe(r *request) string {
	if r == nil {
		return "it doesn't end"
	}
	return fmt.Sprintf("outcome %d, status %d", r.Outcome, r.Status)
}

// allServe reports whether all proxies have a version in force that is at least as new.
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
