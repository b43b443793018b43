package simulation

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/command"
	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/network/memorynetwork"
	"mastusher/internal/tier/storage"
)

// role is what a process runs as.
type role string

// The roles.
const (
	controllerRole role = "controller"
	storeRole      role = "store"
	agentRole      role = "agent"
	proxyRole      role = "proxy"
)

// runs are the roles as their commands run them.
var runs = map[role]func(ctx context.Context, around command.Environment) error{
	controllerRole: command.RunController,
	storeRole:      command.RunStore,
	agentRole:      command.RunAgent,
	proxyRole:      command.RunProxy,
}

// restartPause is how long the platform takes to start a process that has ended by itself.
const restartPause = time.Second

// process is one start of a role on a machine. The fleet's mutex guards its fields.
type process struct {
	machine     *machine
	role        role
	incarnation int
	network     *memorynetwork.Process
	hangups     chan os.Signal
	terminate   context.CancelFunc
	ended       chan struct{}
	stopping    bool // its end was asked for
	dead        bool // killed
}

// start begins a role.
func (m *machine) start(r role) *process {
	f := m.fleet
	f.mutex.Lock()
	m.starts++
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{machine: m, role: r, incarnation: m.starts, network: m.host.Start(), hangups: make(chan os.Signal, 1),
		terminate: cancel, ended: make(chan struct{})}
	m.processes[r] = p
	f.running.Add(1)
	f.mutex.Unlock()
	around := command.Environment{
		SettingsPath:  f.writeSettings(m, r),
		Logger:        log.With(&processLogger{process: p}),
		Network:       p.network,
		OpenDisk:      func(string) (storage.Disk, error) { return &processDisk{process: p, memory: m.disk.memory}, nil },
		ReloadSignals: p.hangups,
		Now:           func() time.Time { return time.Now().Add(m.clock()) },
	}
	go func() {
		defer f.running.Done()
		err := runs[r](ctx, around)
		p.network.Kill()
		cancel()
		close(p.ended)
		p.noteEnd(err)
	}()
	return p
}

// noteEnd tells of a process that ended though nobody asked for it, and starts it again.
func (p *process) noteEnd(err error) {
	f := p.machine.fleet
	f.mutex.Lock()
	wanted := p.stopping || p.dead
	f.mutex.Unlock()
	if wanted {
		return
	}
	f.report("END", "%v ended by itself: %v", p, err)
	f.after(restartPause, func() { p.machine.startAgain(p) })
}

// kill ends the process at once: its connections end, and it does nothing more that anyone could see.
func (p *process) kill() {
	p.markDead()
	p.network.Kill()
	p.machine.disk.memory.Kill()
	p.terminate()
}

func (p *process) markDead() {
	p.machine.fleet.mutex.Lock()
	defer p.machine.fleet.mutex.Unlock()
	p.dead = true
}

func (p *process) isDead() bool {
	p.machine.fleet.mutex.Lock()
	defer p.machine.fleet.mutex.Unlock()
	return p.dead
}

// stop sends SIGTERM, and kills the process once its grace is over. It returns when the process has ended.
func (p *process) stop() {
	p.machine.fleet.mutex.Lock()
	p.stopping = true
	p.machine.fleet.mutex.Unlock()
	p.terminate()
	select {
	case <-p.ended:
	case <-time.After(grace):
		p.machine.fleet.trace("%v is killed after its grace", p)
		p.kill()
	}
}

// hangUp sends SIGHUP.
func (p *process) hangUp() {
	select {
	case p.hangups <- syscall.SIGHUP:
	default:
	}
}

// String names the process and its start.
func (p *process) String() string {
	return fmt.Sprintf("%s/%s#%d", p.machine.name, p.role, p.incarnation)
}

// processLogger takes what a process logs, and notes the configurations that come in force at a proxy.
type processLogger struct{ process *process }

// Log implements log.Logger.
func (l *processLogger) Log(pairs ...any) error {
	var message string
	var number uint64
	for i := 0; i+1 < len(pairs); i += 2 {
		switch pairs[i] {
		case "msg":
			message, _ = pairs[i+1].(string)
		case "number":
			number, _ = pairs[i+1].(uint64)
		}
	}
	f := l.process.machine.fleet
	if message == invariant.Message {
		f.noteInvariant(l.process, pairs)
	}
	if message == "configuration in force" {
		f.history.inForce(versionSeen{Proxy: l.process.machine.name, Incarnation: l.process.incarnation, Number: number, At: f.now()})
	}
	if f.options.Trace != nil {
		var line bytes.Buffer
		_ = level.NewFilter(log.NewLogfmtLogger(&line), level.AllowInfo()).Log(pairs...)
		if line.Len() > 0 {
			f.trace("%v %s", l.process, bytes.TrimSpace(line.Bytes()))
		}
	}
	return nil
}

// noteInvariant reports a violation that a process has counted. An outage of one proxy may last as long as the faults that
// meet; whether service is back after them is checked by the day.
func (f *Fleet) noteInvariant(p *process, pairs []any) {
	if !slices.Contains(pairs, any(invariant.Recovery)) {
		f.report("INVARIANT", "%v: %v", p, pairs)
	}
}

// settingsPath is where a process's settings file lies.
func (f *Fleet) settingsPath(m *machine, r role) string {
	return filepath.Join(f.options.Folder, m.name+"-"+string(r)+".yaml")
}
