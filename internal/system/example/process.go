package example

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mastusher/internal/system/command"
)

// process is one running process of the tier.
type process struct {
	machine  machine
	role     string
	command  *exec.Cmd
	log      *os.File
	ended    chan struct{} // closed once the process has ended
	err      error         // of its end; read after ended
	expected bool          // the example itself has ended it
}

// startProcess starts a role. Its output goes to a file beside its settings.
func startProcess(binary, folder string, m machine, role, settingsPath string) (*process, error) {
	log, err := os.Create(filepath.Join(folder, m.name+"-"+role+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(binary, role)
	command.Env = []string{"MASTUSHER_NODE_FILE=" + settingsPath}
	command.Stdout, command.Stderr = log, log
	// The process goes with the example, also if that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	started := &process{machine: m, role: role, command: command, log: log, ended: make(chan struct{})}
	go func() {
		started.err = command.Wait()
		close(started.ended)
	}()
	return started, nil
}

func (p *process) String() string { return p.machine.name + "/" + p.role }

// running tells whether the process has not ended yet.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// kill ends the process as a crash would, and waits for its end.
func (p *process) kill(ctx context.Context) error {
	p.expected = true
	if err := p.command.Process.Kill(); err != nil {
		return fmt.Errorf("%v: %w", p, err)
	}
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop ends all processes: with SIGTERM, and with SIGKILL those that go on. It gives a sentence for each that did not end
// in order, and for each that by its own account took longer than its grace time.
func stop(processes []*process) []string {
	var running []*process
	for _, p := range processes {
		if p.running() {
			running = append(running, p)
			_ = p.command.Process.Signal(syscall.SIGTERM)
		}
	}
	patience := time.NewTimer(stopPatience)
	defer patience.Stop()
	late := false
	var problems []string
	for _, p := range running {
		if !late {
			select {
			case <-p.ended:
			case <-patience.C:
				late = true
			}
		}
		switch {
		case p.running():
			_ = p.command.Process.Kill()
			<-p.ended
			problems = append(problems, fmt.Sprintf("%v did not end within %v of SIGTERM", p, stopPatience))
		case p.err != nil:
			problems = append(problems, fmt.Sprintf("%v ended with %v", p, p.err))
		default:
			problems = append(problems, p.checkEnd()...)
		}
	}
	for _, p := range processes {
		p.log.Close()
	}
	return problems
}

// checkEnd gives a sentence if the process doesn't say that it has ended within its grace time.
func (p *process) checkEnd() []string {
	content, err := os.ReadFile(p.log.Name())
	if err != nil {
		return []string{fmt.Sprintf("%v: %v", p, err)}
	}
	took, told := endedAfter(string(content))
	switch grace := time.Duration(processGrace * float64(time.Second)); {
	case !told:
		return []string{fmt.Sprintf("%v doesn't say how long its end took", p)}
	case took > grace:
		return []string{fmt.Sprintf("%v took %v for its end, with a grace time of %v", p, took, grace)}
	}
	return nil
}

// endedAfter reads from what a process has logged how long after SIGTERM it had ended.
func endedAfter(logged string) (took time.Duration, told bool) {
	_, line, _ := strings.Cut(logged, strconv.Quote(command.EndMessage))
	line, _, _ = strings.Cut(line, "\n")
	_, value, _ := strings.Cut(line, " after=")
	took, err := time.ParseDuration(value)
	return took, err == nil
}

// unexpected gives a sentence for each process that has ended by itself.
func unexpected(processes []*process) []string {
	var problems []string
	for _, p := range processes {
		if !p.expected && !p.running() {
			problems = append(problems, fmt.Sprintf("%v ended by itself: %v", p, p.err))
		}
	}
	return problems
}
