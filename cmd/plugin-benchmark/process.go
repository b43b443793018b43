package main

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// maxCPUs is how many processors a unix.CPUSet has room for.
const maxCPUs = 1024

// avoidLastCPU keeps all threads of this process off the last processor, which is the relay's.
func avoidLastCPU() error {
	var cpus unix.CPUSet
	if err := unix.SchedGetaffinity(0, &cpus); err != nil {
		return err
	}
	if cpus.Count() < 2 {
		return errOneProcessor
	}
	cpus.Clear(lastCPU(&cpus))
	tasks, err := os.ReadDir("/proc/self/task")
	for _, task := range tasks {
		if id, parseErr := strconv.Atoi(task.Name()); parseErr == nil {
			_ = unix.SchedSetaffinity(id, &cpus) // a thread may have ended meanwhile
		}
	}
	return err
}

func lastCPU(cpus *unix.CPUSet) (last int) {
	for i := range maxCPUs {
		if cpus.IsSet(i) {
			last = i
		}
	}
	return last
}

// startRelay runs the relay on a processor, with its output in a file; its threads inherit that from the one that starts
// it.
func startRelay(program, configFile, logFile string, cpu int) (*exec.Cmd, error) {
	output, err := os.Create(logFile)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	cmd := exec.Command(program, "serve", "--config", configFile)
	cmd.Stdout, cmd.Stderr = output, output
	done := make(chan error)
	go func() {
		runtime.LockOSThread() // and never unlocked: the thread ends with its affinity
		var cpus unix.CPUSet
		cpus.Set(cpu)
		err := unix.SchedSetaffinity(0, &cpus)
		if err == nil {
			err = cmd.Start()
		}
		done <- err
	}()
	return cmd, <-done
}

// peakMemoryMB is the most memory that a process has had; 0: it can't be read.
func peakMemoryMB(pid int) float64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
			return kilobytes / 1024
		}
	}
	return 0
}
