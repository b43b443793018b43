package simulation

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/command"
	"mastusher/internal/tier/network/memorynetwork"
	"mastusher/internal/tier/storage"
)

// role is the part that a process plays in the tier.
type role string

// The roles.
const (
	controllerRole role = "controller"
	storeRole      role = "store"
	agentRole      role = "agent"
	proxyRole      role = "proxy"
)

// roleRunners maps each role to the function that its command runs.
var roleRunners = map[role]func(ctx context.Context, environment command.Environment) error{
	controllerRole: command.RunController,
	storeRole:      command.RunStore,
	agentRole:      command.RunAgent,
	proxyRole:      command.RunProxy,
}

// restartDelay is how long the platform takes to start a process that has ended by itself.
const restartDelay = time.Second

// process is one run of a role on a machine. The fleet's mutex guards its fields.
type process struct {
	machine       *machine
	role          role
	incarnation   int
	network       *memorynetwork.Process
	reloadSignals chan os.Signal
	terminate     context.CancelFunc
	ended         chan struct{}
	stopping      bool // it was sent SIGTERM
	dead          bool // it was killed, or its machine lost power
}

// start starts a process in a role.
func (m *machine) start(r role) {
	f := m.fleet
	f.mutex.Lock()
	m.starts++
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{machine: m, role: r, incarnation: m.starts, network: m.host.Start(), reloadSignals: make(chan os.Signal, 1),
		terminate: cancel, ended: make(chan struct{})}
	m.processes[r] = p
	f.goroutines.Add(1)
	f.mutex.Unlock()
	environment := command.Environment{
		SettingsPath:  f.writeSettings(m, r),
		Logger:        log.With(&processLogger{process: p}),
		Network:       p.network,
		OpenDisk:      func(string) (storage.Disk, error) { return &processDisk{process: p, files: m.disk.memory}, nil },
		ReloadSignals: p.reloadSignals,
		Now:           func() time.Time { return time.Now().Add(m.clockOffset()) },
	}
	go func() {
		defer f.goroutines.Done()
		err := roleRunners[r](ctx, environment)
		p.network.Kill()
		cancel()
		close(p.ended)
		p.handleExit(err)
	}()
}

// handleExit reports and restarts a process that ended without being stopped or killed.
func (p *process) handleExit(err error) {
	f := p.machine.fleet
	f.mutex.Lock()
	expected := p.stopping || p.dead
	f.mutex.Unlock()
	if expected {
		return
	}
	f.report("END", "%v ended by itself: %v", p, err)
	f.after(restartDelay, func() { p.machine.restart(p) })
}

// kill ends the process at once: its connections end, and it has no effect on the network or its disk any more.
func (p *process) kill() {
	p.setDead()
	p.network.Kill()
	p.machine.disk.memory.Kill()
	p.terminate()
}

func (p *process) setDead() {
	p.machine.fleet.mutex.Lock()
	defer p.machine.fleet.mutex.Unlock()
	p.dead = true
}

func (p *process) isDead() bool {
	p.machine.fleet.mutex.Lock()
	defer p.machine.fleet.mutex.Unlock()
	return p.dead
}

// stop sends SIGTERM, and kills the process if it hasn't ended after gracePeriod.
func (p *process) stop() {
	p.machine.fleet.mutex.Lock()
	p.stopping = true
	p.machine.fleet.mutex.Unlock()
	p.terminate()
	select {
	case <-p.ended:
	case <-time.After(gracePeriod):
		p.machine.fleet.trace("%v is killed after the grace period", p)
		p.kill()
	}
}

// sendHangup sends SIGHUP.
func (p *process) sendHangup() {
	select {
	case p.reloadSignals <- syscall.SIGHUP:
	default:
	}
}

// String names the process by machine, role and incarnation.
func (p *process) String() string {
	return fmt.Sprintf("%s/%s#%d", p.machine.name, p.role, p.incarnation)
}

// settingsPath returns the path of a process's settings file.
func (f *Fleet) settingsPath(m *machine, r role) string {
	return filepath.Join(f.options.Folder, m.name+"-"+string(r)+".yaml")
}
