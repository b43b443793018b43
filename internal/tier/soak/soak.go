package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wait"
)

// Options are the options of a run. All are required.
type Options struct {
	Plan             Plan
	Binary           string    // path of mastusher-tier as it is deployed
	PartitionCommand []string  // runs a role on a network that can be partitioned; the role's name is appended
	Folder           string    // for settings, disks and logs
	Report           io.Writer // gets a line for each event
}

// run is the state of one run.
type run struct {
	options     Options
	plan        Plan
	started     time.Time
	tier        *localtier.Tier
	environment *localtier.Environment
	services    []*service // by their numbers
	partitions  *partitions
	pool        *transport.Pool
	clients     *clients
	operator    *operator
	shards      int        // as learnShards found; 0: not yet
	diskMutex   sync.Mutex // held while a disk is lost, since the tier tolerates one at a time

	mutex  sync.Mutex // guards the fields below and the report
	random *rand.Rand
	result Result
}

// Run executes a plan. Its error means that the run could not start; violations are in the result. All processes have ended
// when it returns.
func Run(ctx context.Context, options Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Plan.Length+setupBound)
	defer cancel()
	r := &run{options: options, plan: options.Plan, started: time.Now(), random: rand.New(rand.NewPCG(options.Plan.Seed, runStream)),
		pool: transport.NewPool(), result: Result{FirstServed: map[string]time.Duration{}}}
	defer r.pool.Close()
	if err := r.layOut(); err != nil {
		return r.result, err
	}
	defer r.environment.Close()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var watcher sync.WaitGroup
	watcher.Go(func() { r.watchProcesses(watchCtx) })
	if r.start(ctx) {
		r.runFaults(ctx)
		r.checkPrograms(ctx)
	}
	stopWatch()
	watcher.Wait()
	r.stop()
	r.readLogs()
	return r.result, nil
}

// setupBound is the time allowed for everything before and after the faults.
const setupBound = 4 * time.Minute

// runStream separates the run's random numbers from others of the same seed.
const runStream = 0x72756e

// layOut prepares machines, services, clients and the environment. No process runs yet.
func (r *run) layOut() (err error) {
	if r.environment, err = localtier.StartEnvironment(); err != nil {
		return err
	}
	options := localtier.Options{Command: []string{r.options.Binary}, Folder: r.options.Folder, Platform: r.environment.Platform.Address(),
		Counts: localtier.Counts{Core: 3, Storage: 4, Edge: 2}}
	if r.plan.Large {
		options.Counts = localtier.Counts{Core: 5, Storage: 6, Edge: 3}
	}
	if r.plan.Partitions {
		options.Command = r.options.PartitionCommand
		options.ProcessEnv = func(m localtier.Machine) []string { return partitionEnv(m, r.partitions.path(m)) }
	}
	if r.tier, err = localtier.New(options); err != nil {
		r.environment.Close()
		return err
	}
	for number, p := range r.tier.Processes {
		r.services = append(r.services, &service{Process: p, number: number, recordViolation: r.recordViolation})
	}
	r.clients = newClients(r)
	r.operator = newOperator(r)
	r.partitions, err = newPartitions(r.options.Folder, r.tier.Machines)
	if err != nil {
		r.environment.Close()
	}
	return err
}

// start starts the tier with its first configuration and waits until all replicas have caught up; false means that a step took longer
// than its bound.
func (r *run) start(ctx context.Context) bool {
	r.report("%d processes on %d machines; plan %s", len(r.services), len(r.tier.Machines), r.plan.Text())
	for _, s := range r.services {
		s.mutex.Lock()
		s.startLocked()
		s.mutex.Unlock()
	}
	if !r.waitUntil(ctx, startBound, func() bool { return r.operator.order(ctx) }) {
		r.recordViolation("BEGIN", "the first configuration is not acknowledged")
		return false
	}
	if err := r.tier.WaitReady(ctx); err != nil {
		r.recordViolation("BEGIN", "%v", err)
		return false
	}
	if !r.waitUntil(ctx, startBound, r.learnShards) {
		r.recordViolation("BEGIN", "no controller has logged the placement of shards")
		return false
	}
	if !r.waitUntil(ctx, startBound, func() bool { return r.queryGroups(ctx).caughtUp == r.shards }) {
		r.recordViolation("BEGIN", "%v", r.queryGroups(ctx))
		return false
	}
	r.result.Shards = r.shards
	r.report("all replicas have caught up, with %d shards", r.shards)
	return true
}

// runFaults injects the faults under traffic, and then the closing fault, and measures the recovery from it.
func (r *run) runFaults(ctx context.Context) {
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var traffic, faults sync.WaitGroup
	for range programWorkers {
		traffic.Go(func() { r.clients.programLoop(trafficCtx) })
	}
	orderCtx, stopOrders := context.WithCancel(trafficCtx)
	defer stopOrders()
	traffic.Go(func() { r.operator.orderLoop(orderCtx) })
	traffic.Go(func() { r.operator.readLoop(trafficCtx) })
	start := time.Now()
	for _, fault := range r.plan.Faults {
		faults.Go(func() {
			if wait.Sleep(ctx, time.Until(start.Add(fault.At))) == nil {
				r.inject(ctx, fault)
			}
		})
	}
	_ = wait.Sleep(ctx, time.Until(start.Add(r.plan.Length)))
	faults.Wait()
	r.injectClosing(ctx)
	restarted := time.Now()
	stopOrders() // measureRecovery waits until the newest configuration has reached all proxies
	r.measureRecovery(ctx, restarted)
	stopTraffic()
	traffic.Wait()
}

// watchProcesses restarts processes that have ended by themselves, until ctx ends.
func (r *run) watchProcesses(ctx context.Context) {
	for wait.Sleep(ctx, pollInterval) == nil {
		for _, s := range r.services {
			s.restartIfExited()
		}
	}
}

// stop ends all processes with SIGTERM.
func (r *run) stop() {
	for _, problem := range localtier.Stop(r.tier.Processes, shutdownBound) {
		r.recordViolation("TERM", "%s", problem)
	}
	r.report("all processes have ended")
}

// forbiddenTexts must not occur in any process's log.
var forbiddenTexts = []string{"panic:", "fatal error:", "DATA RACE", "replica stopped", "process ends", "goroutine 1 [", invariant.Message}

// readLogs records a violation for each line of a log with a forbidden text.
func (r *run) readLogs() {
	for _, s := range r.services {
		content, err := os.ReadFile(s.LogPath())
		if err != nil {
			r.recordViolation("HARNESS", "%v", err)
			continue
		}
		for line := range strings.Lines(string(content)) {
			if slices.ContainsFunc(forbiddenTexts, func(text string) bool { return strings.Contains(line, text) }) {
				r.recordViolation("LOG", "%s: %s", filepath.Base(s.LogPath()), strings.TrimSpace(line))
			}
		}
	}
}

// report writes one line of the report.
func (r *run) report(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.options.Report, "%s %6.2f s  %s\n", time.Now().Format("15:04:05.000"), time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// recordViolation records a violation of a kind and reports it.
func (r *run) recordViolation(kind, format string, values ...any) {
	violation := Violation{Kind: kind, At: time.Since(r.started), Text: fmt.Sprintf(format, values...)}
	r.report("VIOLATION: %v", violation)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Violations = append(r.result.Violations, violation)
}

// intN returns a random number below n.
func (r *run) intN(n int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.IntN(n)
}

// waitUntil polls until a condition holds; false means that it does not within the timeout.
func (r *run) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		if wait.Sleep(ctx, pollInterval) != nil {
			return false
		}
	}
	return true
}
