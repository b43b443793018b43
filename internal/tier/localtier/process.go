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

// Process is a role on a machine, which may be started again after each end. Its methods must not be called concurrently.
type Process struct {
	Machine Machine
	Role    string

	tier         *Tier
	startCount   int
	command      *exec.Cmd
	ended        chan struct{} // closed once the process has ended; nil: never started
	exitErr      error         // of the last run; must be read only after ended is closed
	endRequested bool          // SIGTERM or SIGKILL was sent to it
}

// Start starts the process. The settings of its first start are those of a system that starts for the first time. A goroutine waits for
// the end of the process; Wait waits for that goroutine.
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
	// The kernel kills the process when the process that started it ends, even by SIGKILL.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	p.startCount++
	log.annotate("start %d, process %d", p.startCount, command.Process.Pid)
	ended := make(chan struct{})
	p.command, p.ended, p.endRequested, p.exitErr = command, ended, false, nil
	go func() {
		p.exitErr = command.Wait()
		log.annotate("end of process %d: %v", command.Process.Pid, command.ProcessState)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// LogPath returns the file with the output of all runs of the process.
func (p *Process) LogPath() string {
	return filepath.Join(p.tier.options.Folder, p.Machine.Name+"-"+p.Role+".log")
}

// String returns machine and role.
func (p *Process) String() string { return p.Machine.Name + "/" + p.Role }

// Pid returns the process ID. The process must have been started.
func (p *Process) Pid() int { return p.command.Process.Pid }

// Listens reports whether the process, which must be running, accepts connections yet.
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

// Running reports whether the process has been started and has not ended.
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

// Signal sends a signal. After SIGKILL or SIGTERM, the end of the process is expected.
func (p *Process) Signal(signal syscall.Signal) error {
	if p.Running() && (signal == syscall.SIGKILL || signal == syscall.SIGTERM) {
		p.endRequested = true
	}
	return p.command.Process.Signal(signal)
}

// Kill ends the process with SIGKILL, as a crash would, and waits for its end.
func (p *Process) Kill(ctx context.Context) error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return fmt.Errorf("%v: %w", p, err)
	}
	return p.Wait(ctx)
}

// Wait waits for the end of the process, which must have been started. Its error is that of ctx.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ExitError reports a process that ended by itself, or with a status other than 0 after SIGTERM.
type ExitError struct {
	Process   string
	Requested bool  // SIGTERM was sent to it
	Err       error // of exec.Cmd.Wait; nil: status 0
}

// Error names the process and how it ended.
func (e *ExitError) Error() string {
	if !e.Requested {
		return fmt.Sprintf("%s ended by itself: %v", e.Process, e.Err)
	}
	return fmt.Sprintf("%s ended with %v", e.Process, e.Err)
}

// Unwrap returns the error of exec.Cmd.Wait.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitErr returns an *ExitError if the process has ended by itself, or with an error after SIGTERM. It returns nil for a process that
// runs or was killed by Signal.
func (p *Process) ExitErr() error {
	if p.ended == nil || p.Running() {
		return nil
	}
	if !p.endRequested {
		return &ExitError{Process: p.String(), Err: p.exitErr}
	}
	var exit *exec.ExitError
	if errors.As(p.exitErr, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGKILL {
		return nil
	}
	if p.exitErr != nil {
		return &ExitError{Process: p.String(), Requested: true, Err: p.exitErr}
	}
	return nil
}

// LoseDisk removes the data folder of the process's machine, on which no process may be running.
func (p *Process) LoseDisk() error { return os.RemoveAll(p.tier.diskOf(p.Machine)) }

// ExitedUnexpectedly reports whether the process has ended without SIGTERM or SIGKILL from Signal.
func (p *Process) ExitedUnexpectedly() bool { return p.ended != nil && !p.endRequested && !p.Running() }

// Stop ends all processes with SIGTERM, and those that still run after the timeout with SIGKILL. It returns a sentence for each process
// that did not end with status 0 in time, or whose log does not say that it ended within its grace time.
func Stop(processes []*Process, timeout time.Duration) []string {
	var running []*Process
	for _, p := range processes {
		if p.Running() {
			running = append(running, p)
			_ = p.Signal(syscall.SIGTERM)
		}
	}
	bounded, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var problems []string
	for _, p := range running {
		if p.Wait(bounded) != nil && p.Running() {
			_ = p.Signal(syscall.SIGKILL)
			<-p.ended
			problems = append(problems, fmt.Sprintf("%v did not end within %v of SIGTERM", p, timeout))
		} else if err := p.ExitErr(); err != nil {
			problems = append(problems, err.Error())
		} else {
			problems = append(problems, p.checkShutdown()...)
		}
	}
	return problems
}

// UnexpectedExits returns a sentence for each process that has ended by itself.
func UnexpectedExits(processes []*Process) []string {
	var problems []string
	for _, p := range processes {
		if p.ExitedUnexpectedly() {
			problems = append(problems, p.ExitErr().Error())
		}
	}
	return problems
}
