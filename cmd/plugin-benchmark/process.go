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

// maxCPUs is the number of CPUs that a unix.CPUSet holds.
const maxCPUs = 1024

// avoidLastCPU moves all threads of this process off the last CPU, which is for the relay.
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
			_ = unix.SchedSetaffinity(id, &cpus) // the thread may have ended in the meantime
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

// startRelay starts the relay on one CPU, with its output in a file. Its threads inherit the CPU affinity of the thread that starts it.
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
		runtime.LockOSThread() // never unlocked, so that the thread ends together with its CPU affinity
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

// peakMemoryMB returns the peak memory of a process, or 0 if it cannot be read.
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
