package testcluster

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/standin"
)

// CostResult is the measured cost of relays.
type CostResult struct {
	Answers *hdrhistogram.Histogram // response times of accepted messages, in µs
	Refused int64                   // number of messages that were not accepted
	CPU     float64                 // fraction of a processor core, mean of all relays
	Memory  float64                 // peak in MB, mean of all relays
	Bytes   float64                 // sent and received per second, mean of all relays
	Changes int                     // number of changes that took effect
}

// MeasureCost measures the cost of a scenario's relays over length: as separate relays (withoutPeers), or as a fleet during which a number
// of evenly spread changes takes place. It does not run the steps of the scenario, and fails if the fleet can't be run.
func MeasureCost(plan Scenario, binary, dir string, withoutPeers bool, changes int, length time.Duration) (*CostResult, error) {
	if err := plan.validate(); err != nil {
		return nil, err
	}
	plan.withoutPeers = withoutPeers
	fleet, err := New(plan, binary, dir)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := fleet.startForCost(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second) // excludes the cost of the start
	cost, stop := &CostResult{Answers: hdrhistogram.New(1, 60e6, 3)}, make(chan struct{})
	var clients sync.WaitGroup
	accepted := atomic.Int64{}
	result := &Result{Answers: cost.Answers}
	var cpuBefore []float64
	for _, r := range fleet.Relays {
		cpu, _ := r.usage()
		cpuBefore = append(cpuBefore, cpu)
		clients.Go(func() { fleet.runClient(r, stop, &accepted, result) })
	}
	bytesBefore := fleet.linkBytes()
	startedAt := time.Now()
	for range changes {
		time.Sleep(length / time.Duration(changes+1))
		fleet.propose("")
		fleet.awaitChange()
	}
	time.Sleep(time.Until(startedAt.Add(length)))
	seconds := time.Since(startedAt).Seconds()
	relays := float64(len(fleet.Relays))
	for i, r := range fleet.Relays {
		cpu, memory := r.usage()
		cost.CPU += (cpu - cpuBefore[i]) / seconds / relays
		cost.Memory += memory / relays
	}
	cost.Bytes = 2 * float64(fleet.linkBytes()-bytesBefore) / seconds / relays
	close(stop)
	clients.Wait()
	fleet.countForCost(cost)
	return cost, nil
}

// startForCost starts all relays and waits until they serve, separately or as a fleet.
func (f *Fleet) startForCost() error {
	if err := f.startAll(); err != nil {
		return err
	}
	if f.plan.withoutPeers {
		for _, r := range f.Relays {
			if !standin.WaitUntilServing(context.Background(), r.ClientAddress) {
				return &StepTimeoutError{r.Name + " does not serve"}
			}
		}
		return nil
	}
	if st, err := f.Admin(f.Relays[0], node.AdminRequest{Op: "found"}, eventTimeout); err != nil || st.Error != "" {
		return fmt.Errorf("bootstrapping the fleet: status %v: %w", st, err)
	}
	if !f.Await(eventTimeout, func() bool { return f.AllAct(0) && f.activeVoters() == f.plan.Voters }) {
		return errNotFormed
	}
	return nil
}

// countForCost counts the changes that took effect and the messages that were refused.
func (f *Fleet) countForCost(out *CostResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.changes {
		if c.version != 0 {
			out.Changes++
		}
	}
	for _, e := range f.history {
		if e.Kind == checker.Refused {
			out.Refused++
		}
	}
}

// linkBytes returns the number of bytes that all links have received so far.
func (f *Fleet) linkBytes() (n int64) {
	for _, l := range f.links {
		n += l.bytes[0].Load() + l.bytes[1].Load()
	}
	return n
}

// usage returns the processor time in s and the peak memory in MB of a relay's process. Values that are not available are 0.
func (r *Relay) usage() (cpu, memory float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return 0, 0
	}
	pid := strconv.Itoa(r.cmd.Process.Pid)
	stat, _ := os.ReadFile("/proc/" + pid + "/stat")
	_, rest, _ := strings.Cut(string(stat), ") ")
	if fields := strings.Fields(rest); len(fields) > 12 { // fields from the process state on; the 12th and 13th are user and system time
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		cpu = (user + system) / 100 // ticks, 100 a second on Linux
	}
	status, _ := os.ReadFile("/proc/" + pid + "/status")
	for line := range strings.Lines(string(status)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			memory = kb / 1024
		}
	}
	return cpu, memory
}
