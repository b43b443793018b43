package fleettest

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Paces of those who use the tier during a day.
const (
	programPace = 350 * time.Millisecond
	orderPace   = 1200 * time.Millisecond
	readPace    = 1700 * time.Millisecond
	lookPace    = 150 * time.Millisecond
	ackWait     = 3 * time.Second
	programSize = 4 // turns
	afterDay    = 6 * time.Second
	comeBack    = 25 * time.Second // within which all must serve again once the troubles are over
	slowSync    = 120 * time.Millisecond
	fullBytes   = 200
	slowestSync = 4    // times the usual
	followOn    = 0.15 // share of programs that go on from a turn of another
)

// day plays one plan.
type day struct {
	*Fleet
	plan    Plan
	newest  uint64 // number of the newest version that an operator knows of
	sending bool
	over    bool
}

// Result is what came of a day.
type Result struct {
	Violations []string
	Orders     int // acknowledged
	Reads      int
	Runs       int
	Whole      int // turns and calls answered whole
	Programs   int // that ended whole
}

// Play plays a plan and judges it.
func Play(plan Plan, options Options) Result {
	options.Seed = plan.Seed
	if options.Conditions == (Conditions{}) && plan.Seed%3 == 0 {
		options.Conditions = Conditions{Delay: time.Millisecond, Jitter: 20 * time.Millisecond, Loss: 0.05}
	}
	if options.CompactBytes == 0 && plan.Seed%2 == 0 {
		options.CompactBytes = 3 << 10
	}
	d := &day{Fleet: New(options), plan: plan}
	for _, m := range d.counting() {
		m.syncTime = d.loop.between(d.options.SyncTime/2, slowestSync*d.options.SyncTime)
	}
	d.Boot()
	d.use()
	for _, fault := range plan.Faults {
		d.loop.after(fault.At, func() { d.strike(fault) })
	}
	d.RunFor(plan.Span + afterDay)
	d.recover()
	d.finish()
	return d.result()
}

// use has operators, clients and lookers at work for the day.
func (d *day) use() {
	d.every(orderPace, d.order)
	d.every(readPace, func() { d.operators[1].get() })
	d.every(lookPace, d.clients.lookAtVersions)
	d.every(programPace, func() {
		budget := int64(0)
		if d.loop.chance(0.5) {
			budget = int64(turnMost * (1 + d.loop.random.IntN(2*programSize)))
		}
		if d.loop.chance(followOn) {
			d.clients.goOn(1+d.loop.random.IntN(programSize), budget, d.wholeTurn())
			return
		}
		d.clients.play(1+d.loop.random.IntN(programSize), budget, d.loop.chance(0.3), nil)
	})
}

// wholeTurn picks a turn that was answered whole lately; empty: there is none.
func (d *day) wholeTurn() string {
	sent := d.history.requests
	for range 20 {
		if len(sent) == 0 {
			break
		}
		r := sent[len(sent)-1-d.loop.random.IntN(min(len(sent), 200))]
		if r.IsTurn && r.Outcome == whole && d.Now()-r.Ended < keepFor/2 {
			return r.ID
		}
	}
	return ""
}

// every does something again and again until the day is over.
func (d *day) every(pace time.Duration, run func()) {
	d.loop.after(d.loop.between(pace/2, 3*pace/2), func() {
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
	base := d.newest
	sent := o.put(base, base+1+uint64(d.loop.random.IntN(2)))
	d.whenAnswered(sent, func() {
		done()
		if sent.Status == http.StatusOK {
			d.newest = max(d.newest, sent.Content.Number)
			return
		}
		d.learn(o)
	})
}

// learn has an operator read which version is in force, after a refusal.
func (d *day) learn(o *operator) {
	read := o.get()
	d.loop.after(500*time.Millisecond, func() {
		if read.Ended != 0 {
			d.newest = max(d.newest, read.Content.Number)
		}
	})
}

func (d *day) whenAnswered(sent *order, done func()) {
	d.loop.after(20*time.Millisecond, func() {
		if sent.Ended != 0 {
			done()
			return
		}
		if !d.over {
			d.whenAnswered(sent, done)
		}
	})
}

// recover ends all troubles.
func (d *day) recover() {
	d.onAcknowledged = nil
	d.Heal()
	for _, m := range d.machines {
		if m.removed {
			continue
		}
		d.wake(m)
		m.start()
	}
	for _, o := range d.operators {
		o.loseAnswer = 0
	}
}

// wake ends what troubles a machine without ending it.
func (d *day) wake(m *Machine) {
	m.thaw()
	m.wakeDisk()
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

// finish sees whether all serve again once the troubles are over.
func (d *day) finish() {
	d.over = true
	read := d.operators[0].get()
	if !d.Until(comeBack, func() bool { return read.Ended != 0 }) {
		d.report("RECOVER", "the configuration is not read back")
		return
	}
	last := d.operators[0].put(read.Content.Number, read.Content.Number+3)
	d.Until(comeBack, func() bool { return last.Ended != 0 })
	if last.Ended == 0 {
		d.report("RECOVER", "an order is not answered")
	}
	if !d.Until(comeBack, func() bool { return d.allServe(last) }) {
		d.report("RECOVER", "%d of %d proxies are ready with the newest configuration", len(d.readyProxies()), len(d.edges))
	}
	for program := range 3 {
		d.finishProgram(program)
	}
	d.clients.lookAtVersions()
	d.RunFor(time.Second)
}

func (d *day) finishProgram(program int) {
	var ended *request
	for range 3 {
		ended = nil
		d.clients.play(2, 0, false, func(r *request) { ended = r })
		if d.Until(comeBack, func() bool { return ended != nil }) && ended.Outcome == whole {
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

// allServe tells whether all proxies have a version in force that is at least as new.
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
		if r.Outcome == whole {
			result.Whole++
		}
	}
	return result
}
