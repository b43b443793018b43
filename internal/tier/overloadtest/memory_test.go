package overloadtest

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/localtier"
)

// sampleInterval is the interval at which the memory of the processes is measured.
const sampleInterval = 25 * time.Millisecond

// memory is what a process holds, in bytes.
type memory struct {
	resident int64
	unread   int64 // bytes in the receive queues of its sockets
}

func (m memory) total() int64 { return m.resident + m.unread }

// memoryMeter measures processes until it is stopped, in a goroutine that stop waits for.
type memoryMeter struct {
	processes []*localtier.Process
	stopped   chan struct{}
	ended     chan struct{}
	peaks     map[*localtier.Process]memory
}

func startMemoryMeter(processes []*localtier.Process) *memoryMeter {
	m := &memoryMeter{processes: processes, stopped: make(chan struct{}), ended: make(chan struct{}),
		peaks: map[*localtier.Process]memory{}}
	go m.run()
	return m
}

// stop returns the highest memory of each process.
func (m *memoryMeter) stop() map[*localtier.Process]memory {
	close(m.stopped)
	<-m.ended
	return m.peaks
}

func (m *memoryMeter) run() {
	defer close(m.ended)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		m.sample()
		select {
		case <-m.stopped:
			return
		case <-ticker.C:
		}
	}
}

func (m *memoryMeter) sample() {
	unread := unreadBytes()
	for _, p := range m.processes {
		now := memory{resident: residentBytes(p.Pid()), unread: unreadOf(p.Pid(), unread)}
		if now.total() > m.peaks[p].total() {
			m.peaks[p] = now
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// Columns of /proc/net/tcp (proc_net_tcp in the kernel's documentation).
const (
	queuesColumn = 4
	inodeColumn  = 9
)

// unreadBytes returns the bytes in the receive queue of each socket that has some, by inode. A listening socket's queue counts
// connections and is left out by its state.
func unreadBytes() map[string]int64 {
	const listening = "0A"
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	queues := map[string]int64{}
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inodeColumn || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesColumn], ":")
		if count, err := strconv.ParseInt(received, 16, 64); err == nil && count > 0 {
			queues[fields[inodeColumn]] = count
		}
	}
	return queues
}

// unreadOf sums the receive queues of the sockets of a process.
func unreadOf(pid int, queues map[string]int64) int64 {
	if len(queues) == 0 {
		return 0
	}
	folder := fmt.Sprintf("/proc/%d/fd/", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0
	}
	sum := int64(0)
	for _, entry := range entries {
		target, err := os.Readlink(folder + entry.Name())
		if err != nil {
			continue
		}
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			sum += queues[strings.TrimSuffix(inode, "]")]
		}
	}
	return sum
}

// descriptorsOf returns the number of open descriptors of a process, 0 if it has ended.
func descriptorsOf(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
