package localtier

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"mastusher/internal/tier/wire"
)

// SettingsVariable names the environment variable that holds the path of a process's settings file.
const SettingsVariable = "MASTUSHER_NODE_FILE"

// Process is a role on a machine, which runs or not. Its methods must not be called at the same time.
type Process struct {
	Machine Machine
	Role    string

	tier         *Tier
	startCount   int
	command      *exec.Cmd
	ended        chan struct{} // closed once the process has ended; nil: it has never run
	exitErr      error         // of its end; read after ended
	endRequested bool          // it is to end: by a signal from here
}

// Start starts the process, with the settings of a first start of the whole system if it is its first.
func (p *Process) Start() error {
	if err := p.tier.writeSettings(p.Machine, p.Role, p.startCount == 0); err != nil {
		return err
	}
	log, err := openLog(p.LogPath())
	if err != nil {
		return err
	}
	command := exec.Command(p.tier.options.Command[0], append(p.tier.options.Command[1:], p.Role)...)
	command.Env = []string{SettingsVariable + "=" + p.tier.settingsPath(p.Machine, p.Role)}
	if p.tier.options.ProcessEnv != nil {
		command.Env = append(command.Env, p.tier.options.ProcessEnv(p.Machine)...)
	}
	command.Stdout, command.Stderr = log, log
	// The process goes with the one that started it, also if that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	p.startCount++
	log.note("start %d, process %d", p.startCount, command.Process.Pid)
	ended := make(chan struct{})
	p.command, p.ended, p.endRequested, p.exitErr = command, ended, false, nil
	go func() {
		p.exitErr = command.Wait()
		log.note("end of process %d: %v", command.Process.Pid, command.ProcessState)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// LogPath is the file that takes the output of all runs of the process.
func (p *Process) LogPath() string {
	return filepath.Join(p.tier.options.Folder, p.Machine.Name+"-"+p.Role+".log")
}

// String names the machine and the role.
func (p *Process) String() string { return p.Machine.Name + "/" + p.Role }

// Pid is the number of the process, which has begun.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Listens tells whether the process, which runs, takes connections yet.
func (p *Process) Listens() bool {
	port := map[string]int{ControllerRole: FirstPort + wire.ControllerPort, StoreRole: FirstPort + wire.StorePort,
		AgentRole: FirstPort + wire.AgentPort, ProxyRole: ReadinessPort}[p.Role]
	opened, err := net.DialTimeout("tcp4", p.Machine.Address(port), listenTimeout)
	if err != nil {
		return false
	}
	_ = opened.Close()
	return true
}

// Running tells whether the process has begun and not ended yet.
func (p *Process) Running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal; SIGKILL and SIGTERM mean that the process is to end.
func (p *Process) Signal(signal syscall.Signal) error {
	if p.Running() && (signal == syscall.SIGKILL || signal == syscall.SIGTERM) {
		p.endRequested = true
	}
	return p.command.Process.Signal(signal)
}

// Kill ends the process as a crash would, and waits for its end.
func (p *Process) Kill(ctx context.Context) error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return fmt.Errorf("%v: %w", p, err)
	}
	return p.Wait(ctx)
}

// Wait waits for the end of the process.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ExitError tells what is wrong with the end of a process: that it came by itself, or not with status 0 after SIGTERM. A process
// that runs or was killed has none.
func (p *Process) ExitError() error {
	if p.ended == nil || p.Running() {
		return nil
	}
	if !p.endRequested {
		return fmt.Errorf("%v ended by itself: %v", p, p.exitErr)
	}
	var exit *exec.ExitError
	if errors.As(p.exitErr, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL {
		return nil
	}
	if p.exitErr != nil {
		return fmt.Errorf("%v ended with %w", p, p.exitErr)
	}
	return nil
}

// LoseDisk empties the data folder of the process's machine, on which nothing may run.
func (p *Process) LoseDisk() error { return os.RemoveAll(p.tier.diskOf(p.Machine)) }

// ExitedUnexpectedly tells whether the process has ended without a signal from here.
func (p *Process) ExitedUnexpectedly() bool { return p.ended != nil && !p.endRequested && !p.Running() }

// Stop ends all processes: with SIGTERM, and after some patience with SIGKILL those that go on. It gives a sentence for each that did
// not end in order, and for each that by its own account took longer than its grace time.
func Stop(processes []*Process, patience time.Duration) []string {
	var running []*Process
	for _, p := range processes {
		if p.Running() {
			running = append(running, p)
			_ = p.Signal(syscall.SIGTERM)
		}
	}
	bounded, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var problems []string
	for _, p := range running {
		if p.Wait(bounded) != nil && p.Running() {
			_ = p.Signal(syscall.SIGKILL)
			<-p.ended
			problems = append(problems, fmt.Sprintf("%v did not end within %v of SIGTERM", p, patience))
		} else if err := p.ExitError(); err != nil {
			problems = append(problems, err.Error())
		} else {
			problems = append(problems, p.checkShutdown()...)
		}
	}
	return problems
}

// UnexpectedExits gives a sentence for each process that has ended by itself.
func UnexpectedExits(processes []*Process) []string {
	var problems []string
	for _, p := range processes {
		if p.ExitedUnexpectedly() {
			problems = append(problems, p.ExitError().Error())
		}
	}
	return problems
}

// Sleep waits before something is tried again.
func Sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
