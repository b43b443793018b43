package fleettest

import (
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/storage/memorydisk"
)

// Machine is a machine of the tier, or one outside it that uses the tier or is called by it. It runs up to two processes.
type Machine struct {
	fleet *Fleet
	name  string
	ip    string
	zone  string
	role  membership.Role // of its first process; empty for those outside the tier

	disk          *memorydisk.Disk // nil: none
	syncTime      time.Duration
	diskStalled   bool     // syncs don't complete until the disk is resumed
	onDiskResumed []func() // run when the disk is resumed
	syncFails     bool

	frozen      bool
	onThawed    []func()      // run when the machine is thawed
	clockOffset time.Duration // of its time of day from the true one
	firstBoot   bool          // its settings file says that this is the first start of the tier
	removed     bool
	poweredOff  bool // between a loss of power and the next start
	processes   []*process
}

// nowMs returns the machine's time of day in Unix ms.
func (m *Machine) nowMs() int64 {
	return dayStart + (m.fleet.loop.Now() + m.clockOffset).Milliseconds()
}

// process is one process of a machine. Each start and each end increments its incarnation, so that callbacks scheduled in an earlier
// incarnation are dropped.
type process struct {
	machine     *Machine
	name        string
	address     string
	open        func(p *process) (handler, error)
	handler     handler // nil: it doesn't run
	incarnation int
	exchanges   []*exchange
}

// handler handles the messages and calls that reach a running process.
type handler interface {
	// handleMessage handles a message that has no answer.
	handleMessage(from string, message any)
	// handleDatagram handles a datagram, which has no answer and may get lost on its way.
	handleDatagram(from string, message any)
	// serve answers a call with responses on its exchange.
	serve(call *exchange, request any)
}

// isRunning reports whether the process runs, also while its machine is frozen.
func (p *process) isRunning() bool { return p.handler != nil }

// execute calls run if the incarnation of the process still runs. While the machine is frozen, it waits for the thaw.
func (p *process) execute(incarnation int, run func()) {
	if p.incarnation != incarnation || p.handler == nil {
		return
	}
	if p.machine.frozen {
		p.machine.onThawed = append(p.machine.onThawed, func() { p.execute(incarnation, run) })
		return
	}
	run()
}

// after schedules run after a delay, in this incarnation of the process.
func (p *process) after(delay time.Duration, run func()) {
	incarnation := p.incarnation
	p.machine.fleet.loop.After(delay, func() { p.execute(incarnation, run) })
}

// restartDelay is how long the platform takes to restart a process that has ended.
const restartDelay = 300 * time.Millisecond

// start starts the process, unless it runs or its machine is off or removed.
func (p *process) start() {
	if p.handler != nil || p.machine.removed || p.machine.poweredOff {
		return
	}
	p.incarnation++
	started, err := p.open(p)
	if err != nil {
		p.machine.fleet.trace("%s failed to start: %v", p.name, err)
		p.incarnation++
		p.startLater(restartDelay)
		return
	}
	p.handler = started
	p.machine.fleet.trace("%s starts", p.name)
	if starter, ok := started.(interface{ begin() }); ok {
		starter.begin()
	}
}

func (p *process) startLater(delay time.Duration) {
	incarnation := p.incarnation
	p.machine.fleet.loop.After(delay, func() {
		if p.incarnation == incarnation {
			p.start()
		}
	})
}

// end ends the process. With reset, its machine still runs and resets the connections to its peers.
func (p *process) end(reset bool) {
	if p.handler == nil {
		return
	}
	p.handler = nil
	p.incarnation++
	p.machine.fleet.trace("%s ends", p.name)
	open := p.exchanges
	p.exchanges = nil
	for _, e := range open {
		e.processEnded(p, reset)
	}
}

// fail ends the process because its disk failed; it is started again after restartDelay.
func (p *process) fail(err error) {
	p.machine.fleet.trace("%s fails: %v", p.name, err)
	p.end(true)
	p.machine.disk.Kill()
	p.startLater(restartDelay)
}

// kill ends all processes of the machine at once. Its disk keeps all writes.
func (m *Machine) kill() {
	for _, p := range m.processes {
		p.end(true)
	}
	m.dropWaiting()
	if m.disk != nil {
		m.disk.Kill()
	}
}

// losePower ends all processes, and may lose writes that were not synced.
func (m *Machine) losePower() {
	for _, p := range m.processes {
		p.end(false)
	}
	m.dropWaiting()
	m.poweredOff = true
	if m.disk != nil {
		m.disk.LosePower(m.fleet.loop.random.Uint64())
	}
}

// dropWaiting thaws the machine and drops the callbacks that waited for a thaw or for the disk.
func (m *Machine) dropWaiting() {
	m.frozen = false
	m.onThawed = nil
	m.onDiskResumed = nil
}

// wipe replaces the disk by an empty one.
func (m *Machine) wipe() {
	m.disk = memorydisk.New()
	m.firstBoot = false
}

// start powers the machine on and starts its processes.
func (m *Machine) start() {
	m.poweredOff = false
	for _, p := range m.processes {
		p.start()
	}
}

// thaw resumes a frozen machine, and runs the callbacks that were delayed meanwhile.
func (m *Machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	waiting := m.onThawed
	m.onThawed = nil
	for _, run := range waiting {
		run()
	}
}

// resumeDisk resumes a stalled disk, and runs the callbacks that waited for it.
func (m *Machine) resumeDisk() {
	m.diskStalled = false
	waiting := m.onDiskResumed
	m.onDiskResumed = nil
	for _, run := range waiting {
		run()
	}
}
