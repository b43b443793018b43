package testcluster

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
)

// stampedPolicy is a policy with which calls carry its version.
const stampedPolicy = `{"format":1,"stamp":true}`

// eventTimeout bounds each wait for an event that must happen. It is long, since a busy machine is slow and it need only detect events that
// never happen.
const eventTimeout = 60 * time.Second

// RunScenario runs a scenario with the relay's program binary in the folder dir, and checks the history. It writes a line for each step to
// progress, which may be nil. It returns an error if the scenario can't be run. A breach or a stuck fleet is in the result.
func RunScenario(plan Scenario, binary, dir string, progress io.Writer) (*Result, error) {
	fleet, err := New(plan, binary, dir)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	res := &Result{Scenario: plan, StartedAt: fleet.started, FaultsDuringChange: fleet.FaultsDuringChange, Answers: hdrhistogram.New(1, 60e6, 3)}
	if err = fleet.form(res); err != nil {
		return nil, err
	}
	if res.Stuck != "" {
		return res, nil
	}
	fleet.propose(stampedPolicy)  // so that all later calls carry their version
	if plan.GuaranteedShare > 0 { // relays learn the limits from the first calls
		fleet.limitKnownFrom = fleet.now() + 2*plan.Lease
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	accepted := atomic.Int64{}
	for _, r := range fleet.Relays {
		clients.Go(func() { fleet.runClient(r, stop, &accepted, res) })
	}
	fleet.awaitChange()
	if err = fleet.runSteps(progress); err == nil {
		res.Stuck = fleet.recoverAll()
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	if err != nil {
		return nil, err
	}
	if res.Stuck == "" && !fleet.Await(eventTimeout, fleet.allMessagesEnded) {
		res.Stuck = "accepted messages have no outcome"
	}
	res.Accepted = int(accepted.Load())
	if res.Stuck == "" && plan.GuaranteedShare > 0 {
		res.Stuck = fleet.checkCounters(res)
	}
	fleet.checkHistory(res)
	return res, nil
}

// form starts all relays, bootstraps the fleet at relay 0, and waits until all relays act and all voters vote. It sets res.Stuck if that
// does not happen in time.
func (f *Fleet) form(res *Result) error {
	startedAt := time.Now()
	if err := f.startAll(); err != nil {
		return err
	}
	switch status, err := f.Admin(f.Relays[0], node.AdminRequest{Op: "found"}, eventTimeout); {
	case err != nil:
		return fmt.Errorf("bootstrapping the fleet: %w", err)
	case status.Error != "":
		return &AnswerError{"bootstrapping the fleet", f.Relays[0].Name, status.Error}
	}
	if !f.Await(eventTimeout, func() bool { return f.AllAct(0) }) {
		res.Stuck = "not all relays act after the bootstrap" + f.describeRelays()
		return nil
	}
	res.FormationTime = time.Since(startedAt)
	if !f.Await(eventTimeout, func() bool { return f.activeVoters() == f.plan.Voters }) {
		res.Stuck = "not all voters vote after the bootstrap" + f.describeRelays()
	}
	return nil
}

// runSteps runs the scenario's steps in order.
func (f *Fleet) runSteps(progress io.Writer) error {
	for i := range f.plan.Steps {
		step := &f.plan.Steps[i]
		time.Sleep(step.After)
		if progress != nil {
			fmt.Fprintf(progress, "%8v  %s %s %s\n", f.now().Round(time.Millisecond), step.Action, step.Relay, step.Phase)
		}
		if err := f.runStep(step); err != nil {
			return err
		}
	}
	return nil
}

// recoverAll ends all faults, restarts all relays and proposes changes until one takes effect. It returns what does not happen in time,
// empty for success.
func (f *Fleet) recoverAll() string {
	f.record(checker.Entry{Kind: checker.Fault, Text: "all is well again"})
	f.heal()
	for _, r := range f.Relays {
		if os.Remove(r.diskFullFile()) == nil {
			f.stop(r, syscall.SIGKILL) // a voter whose disk was full does not vote until its next start
		}
		r.signal(syscall.SIGCONT)
		if err := f.Start(r); err != nil {
			return err.Error()
		}
	}
	last := uint64(0)
	proposedAt := time.Time{}
	ok := f.Await(eventTimeout, func() bool {
		version, open := f.newestVersion()
		f.mu.Lock()
		for _, c := range f.changes {
			if c.ticket == last && c.finished && c.version == 0 {
				last = 0 // the fleet dropped it, since another change was under way: propose again
			}
		}
		f.mu.Unlock()
		if !open && (last == 0 && time.Since(proposedAt) > time.Second || time.Since(proposedAt) > 3*time.Second) { // dropped, or lost
			proposedAt = time.Now()
			f.propose(stampedPolicy)
			f.mu.Lock()
			last = f.changes[len(f.changes)-1].ticket
			f.mu.Unlock()
			return false
		}
		f.mu.Lock()
		c := f.changes[len(f.changes)-1]
		f.mu.Unlock()
		return last != 0 && c.ticket == last && c.finished && c.version == version && f.AllAct(version)
	})
	if ok {
		return ""
	}
	return "no change takes effect after all faults ended" + f.describeRelays()
}
