package testcluster

import (
	"context"
	"errors"
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

// CostResult is what relays take.
type CostResult struct {
	Answers *hdrhistogram.Histogram // times of answers to clients that are told 202, in µs
	Refused int64                   // messages that were told anything else
	CPU     float64                 // shares of a core, the mean of all relays
	Memory  float64                 // MB at most, the mean of all relays
	Bytes   float64                 // a second that a relay sends and gets, the mean of all relays
	Changes int
}

// Cost measures a plan's relays for a while: alone (bare, with no peers in their files), or as a fleet in which a change of
// policy comes that many times.
func Cost(plan Scenario, binary, dir string, bare bool, changes int, d time.Duration) (*CostResult, error) {
	if err := plan.check(); err != nil {
		return nil, err
	}
	plan.bare = bare
	f, err := New(plan, binary, dir)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for _, r := range f.Relays {
		if err := f.Start(r); err != nil {
			return nil, err
		}
	}
	if bare {
		for _, r := range f.Relays {
			if !standin.Up(context.Background(), r.Front) {
				return nil, fmt.Errorf("%s does not come up", r.Name)
			}
		}
	} else {
		if st, err := f.Ask(f.Relays[0], node.AdminRequest{Op: "found"}, patience); err != nil || st.Error != "" {
			return nil, fmt.Errorf("the fleet can't be founded: %v %w", st, err)
		}
		if !f.Await(patience, func() bool { return f.Act(0) && f.voters() == plan.Voters }) {
			return nil, errors.New("the fleet does not come about")
		}
	}
	time.Sleep(2 * time.Second) // what the start took is not counted
	out, stop := &CostResult{Answers: hdrhistogram.New(1, 60e6, 3)}, make(chan struct{})
	var clients sync.WaitGroup
	taken := atomic.Int64{}
	res := &Result{Answers: out.Answers}
	var before []float64
	for _, r := range f.Relays {
		cpu, _ := r.usage()
		before = append(before, cpu)
		clients.Go(func() { f.client(r, stop, &taken, res) })
	}
	bytes := f.bytes()
	begun := time.Now()
	for range changes {
		time.Sleep(d / time.Duration(changes+1))
		f.begin("")
		f.settle()
	}
	time.Sleep(time.Until(begun.Add(d)))
	took := time.Since(begun).Seconds()
	n := float64(len(f.Relays))
	for i, r := range f.Relays {
		cpu, memory := r.usage()
		out.CPU += (cpu - before[i]) / took / n
		out.Memory += memory / n
	}
	out.Bytes = 2 * float64(f.bytes()-bytes) / took / n
	close(stop)
	clients.Wait()
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
	return out, nil
}

func (f *Fleet) bytes() (n int64) {
	for _, l := range f.links {
		n += l.bytes[0].Load() + l.bytes[1].Load()
	}
	return n
}

// usage is the processor time, in s, and the most memory, in MB, that a relay's process has taken; 0 where it can't be told.
func (r *Relay) usage() (cpu, memory float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return 0, 0
	}
	pid := strconv.Itoa(r.cmd.Process.Pid)
	stat, _ := os.ReadFile("/proc/" + pid + "/stat")
	_, rest, _ := strings.Cut(string(stat), ") ")
	if fields := strings.Fields(rest); len(fields) > 12 { // from the process's state on: user and system time are the 12th and 13th
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
