package fleettest

import (
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/storage/memorydisk"
)

// Machine is one machine of the tier, or of those who use it. It runs up to two processes.
type Machine struct {
	fleet *Fleet
	name  string
	ip    string
	zone  string
	role  membership.Role // of its first process; empty for those outside the tier

	disk          *memorydisk.Disk // nil: none
	syncTime      time.Duration
	diskStalled   bool     // what waits for the disk is put off until it is resumed
	onDiskResumed []func() // put off until the disk answers
	syncFails     bool

	frozen      bool
	onThawed    []func() // put off until the machine is thawed
	clockOffset time.Duration
	firstBoot   bool // first start of the system
	removed     bool
	poweredOff  bool // between a loss of power and the next start
	processes   []*process
}

// nowMs is the machine's time of day in ms.
func (m *Machine) nowMs() int64 {
	return dayStart + (m.fleet.loop.Now() + m.clockOffset).Milliseconds()
}

// process is one process of a machine. Its incarnation is raised with each start and each end, so that what was scheduled in an
// earlier incarnation is dropped.
type process struct {
	machine     *Machine
	name        string
	address     string
	open        func(p *process) (handler, error)
	handler     handler // nil: it doesn't run
	incarnation int
	exchanges   []*exchange
}

// handler is what a running process does with what reaches it.
type handler interface {
	// handleMessage takes in a message that is not answered.
	handleMessage(from string, message any)
	// handleDatagram takes in a datagram.
	handleDatagram(from string, message any)
	// serve answers a call by responses on its exchange.
	serve(call *exchange, request any)
}

// isRunning reports whether the process runs; it may be frozen.
func (p *process) isRunning() bool { return p.handler != nil }

// execute calls run in an incarnation of the process, unless that has ended, and not before the machine is thawed.
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

// restartDelay is the time after which a process that has ended is started again.
const restartDelay = 300 * time.Millisecond

// start starts the process, unless it runs or its machine is off or removed.
func (p *process) start() {
	if p.handler != nil || p.machine.removed || p.machine.poweredOff {
		return
	}
	p.incarnation++
	started, err := p.open(p)
	if err != nil {
		p.machine.fleet.trace("%s does not start: %v", p.name, err)
		p.incarnation++
		p.startLater(restartDelay)
		return
	}
	p.handler = started
	p.machine.fleet.trace("%s starts", p.name)
	if beginner, ok := started.(interface{ begin() }); ok {
		beginner.begin()
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

// end ends the process. With reset its machine still runs, and resets the connections of its peers.
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

// kill ends all processes of the machine at once. What was written to its disk stays.
func (m *Machine) kill() {
	for _, p := range m.processes {
		p.end(true)
	}
	m.dropWaiting()
	if m.disk != nil {
		m.disk.Kill()
	}
}

// losePower ends all processes, and loses what was not synced.
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

// dropWaiting drops what waited for the processes that have ended.
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

// thaw resumes a frozen machine, and runs what reached it meanwhile.
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

// resumeDisk lets a stalled disk answer, and runs what waited for it.
func (m *Machine) resumeDisk() {
	m.diskStalled = false
	waiting := m.onDiskResumed
	m.onDiskResumed = nil
	for _, run := range waiting {
		run()
	}
}
