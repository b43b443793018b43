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

	disk        *memorydisk.Disk // nil: none
	syncTime    time.Duration
	diskSilent  bool     // nothing that waits for the disk goes on
	diskWaiting []func() // what goes on once the disk answers again
	syncFails   bool

	frozen      bool
	waiting     []func() // what goes on once the machine is thawed
	clockOffset time.Duration
	first       bool // first start of the whole system
	removed     bool
	powerless   bool // between a loss of power and the next start
	processes   []*process
}

// now is the machine's time of day in ms.
func (m *Machine) nowMs() int64 {
	return dayStart + (m.fleet.loop.now + m.clockOffset).Milliseconds()
}

// process is one process of a machine. Its life is raised with each start and each end, so that what was begun in an
// earlier life is dropped.
type process struct {
	machine   *Machine
	name      string
	address   string
	starts    func(p *process) (handler, error)
	handler   handler // nil: it doesn't run
	life      int
	exchanges []*exchange
}

// handler is what a running process does with what reaches it.
type handler interface {
	// notice takes in a message that is not answered.
	notice(from string, message any)
	// datagram takes in a datagram.
	datagram(from string, message any)
	// serve answers a call by pieces on its exchange.
	serve(call *exchange, request any)
}

// up tells whether the process runs; it may be frozen.
func (p *process) up() bool { return p.handler != nil }

// enter does something in the process, unless it has ended, and not before it is thawed.
func (p *process) enter(life int, run func()) {
	if p.life != life || p.handler == nil {
		return
	}
	if p.machine.frozen {
		p.machine.waiting = append(p.machine.waiting, func() { p.enter(life, run) })
		return
	}
	run()
}

// after has run called in this life of the process once the delay is over.
func (p *process) after(delay time.Duration, run func()) {
	life := p.life
	p.machine.fleet.loop.after(delay, func() { p.enter(life, run) })
}

// restartPause is the time after which a process that has ended is started again.
const restartPause = 300 * time.Millisecond

// start starts the process, if it is wanted and doesn't run.
func (p *process) start() {
	if p.handler != nil || p.machine.removed || p.machine.powerless {
		return
	}
	p.life++
	started, err := p.starts(p)
	if err != nil {
		p.machine.fleet.trace("%s does not start: %v", p.name, err)
		p.life++
		p.startLater(restartPause)
		return
	}
	p.handler = started
	p.machine.fleet.trace("%s starts", p.name)
	if beginner, ok := started.(interface{ begin() }); ok {
		beginner.begin()
	}
}

func (p *process) startLater(pause time.Duration) {
	life := p.life
	p.machine.fleet.loop.after(pause, func() {
		if p.life == life {
			p.start()
		}
	})
}

// end ends the process. With reset its machine is still there to tell its peers.
func (p *process) end(reset bool) {
	if p.handler == nil {
		return
	}
	p.handler = nil
	p.life++
	p.machine.fleet.trace("%s ends", p.name)
	open := p.exchanges
	p.exchanges = nil
	for _, e := range open {
		e.processEnded(p, reset)
	}
}

// failed ends the process because its disk failed; it is started again after a pause.
func (p *process) failed(err error) {
	p.machine.fleet.trace("%s fails: %v", p.name, err)
	p.end(true)
	p.machine.disk.Kill()
	p.startLater(restartPause)
}

// kill ends all processes of the machine at once. What was written to its disk stays.
func (m *Machine) kill() {
	for _, p := range m.processes {
		p.end(true)
	}
	m.forget()
	if m.disk != nil {
		m.disk.Kill()
	}
}

// losePower ends all processes and takes away what was not synced.
func (m *Machine) losePower() {
	for _, p := range m.processes {
		p.end(false)
	}
	m.forget()
	m.powerless = true
	if m.disk != nil {
		m.disk.LosePower(m.fleet.loop.random.Uint64())
	}
}

// forget drops what waited for the processes that have ended.
func (m *Machine) forget() {
	m.frozen = false
	m.waiting = nil
	m.diskWaiting = nil
}

// wipe takes the disk's content away.
func (m *Machine) wipe() {
	m.disk = memorydisk.New()
	m.first = false
}

// start starts all processes that are wanted.
func (m *Machine) start() {
	m.powerless = false
	for _, p := range m.processes {
		p.start()
	}
}

// thaw lets a frozen machine go on.
func (m *Machine) thaw() {
	if !m.frozen {
		return
	}
	m.frozen = false
	waiting := m.waiting
	m.waiting = nil
	for _, run := range waiting {
		run()
	}
}

// wakeDisk lets a silent disk answer again.
func (m *Machine) wakeDisk() {
	m.diskSilent = false
	waiting := m.diskWaiting
	m.diskWaiting = nil
	for _, run := range waiting {
		run()
	}
}
