package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
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
)

// Options of a run.
type Options struct {
	Plan    Plan
	Binary  string   // mastusher-tier, as it is deployed
	Cutting []string // starts a role in a network that can be cut
	Folder  string   // for settings, disks and logs
	Report  io.Writer
}

// Violation is something that broke a rule.
type Violation struct {
	Kind string
	At   time.Duration
	Text string
}

// String tells all of it.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.2f s: %s", v.Kind, v.At.Seconds(), v.Text)
}

// Result is what a run came to.
type Result struct {
	Violations  []Violation
	Shards      int // by the first placement: it follows from the stores that are known by then
	Programs    int
	Turns       int // tries of turns
	Served      int // turns that were answered whole
	Continued   int // of these, which were gone on from at the end
	Orders      int // acknowledged
	Reads       int
	Disks       int                      // that were lost
	FirstServed map[string]time.Duration // by proxy, from the start of the last process
	AllServed   time.Duration            // from then until nearly all was served
	Owned       time.Duration            // until each group had an owner
	Whole       time.Duration            // until all replicas had caught up
	Pressure    float64                  // share of that time in which something on the machine waited for a processor
}

// Kinds counts the violations of each kind.
func (r Result) Kinds() map[string]int {
	counts := map[string]int{}
	for _, v := range r.Violations {
		counts[v.Kind]++
	}
	return counts
}

// run is the state of one run.
type run struct {
	options  Options
	plan     Plan
	began    time.Time
	tier     *localtier.Tier
	around   *localtier.Surroundings
	services []*service
	cuts     *cuts
	pool     *transport.Pool
	clients  *clients
	operator *operator
	shards   int
	diskTurn sync.Mutex // one disk is lost at a time

	mutex  sync.Mutex
	random *rand.Rand
	result Result
}

// Play plays a plan. Its error means that nothing could be played; what broke a rule is in the result. All processes have ended when it
// returns.
func Play(ctx context.Context, options Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Plan.Length+playBound)
	defer cancel()
	r := &run{options: options, plan: options.Plan, began: time.Now(), random: rand.New(rand.NewPCG(options.Plan.Seed, runStream)),
		pool: transport.NewPool(), result: Result{FirstServed: map[string]time.Duration{}}}
	defer r.pool.Close()
	if err := r.layOut(); err != nil {
		return r.result, err
	}
	defer r.around.Close()
	watching, endWatch := context.WithCancel(ctx)
	var watched sync.WaitGroup
	watched.Go(func() { r.watch(watching) })
	if r.begin(ctx) {
		r.day(ctx)
		r.check(ctx)
	}
	endWatch()
	watched.Wait()
	r.end()
	r.readLogs()
	return r.result, nil
}

// playBound is for what comes before and after the troubles.
const playBound = 4 * time.Minute

// runStream tells the run's random numbers from the others of a seed.
const runStream = 0x72756e

// layOut prepares machines, services and what is around them.
func (r *run) layOut() (err error) {
	if r.around, err = localtier.Surround(); err != nil {
		return err
	}
	options := localtier.Options{Command: []string{r.options.Binary}, Folder: r.options.Folder, Platform: r.around.Platform.Address(),
		Counts: localtier.Counts{Core: 3, Storage: 4, Edge: 2}}
	if r.plan.Large {
		options.Counts = localtier.Counts{Core: 5, Storage: 6, Edge: 3}
	}
	if r.plan.Cuts {
		options.Command = r.options.Cutting
		options.Environment = func(m localtier.Machine) []string { return cuttingEnvironment(m, r.cuts.path(m)) }
	}
	if r.tier, err = localtier.New(options); err != nil {
		r.around.Close()
		return err
	}
	for number, p := range r.tier.Processes {
		r.services = append(r.services, &service{Process: p, number: number, note: r.violate})
	}
	r.clients = newClients(r)
	r.operator = newOperator(r)
	r.cuts, err = newCuts(r.options.Folder, r.tier.Machines)
	if err != nil {
		r.around.Close()
	}
	return err
}

// begin starts the tier with its first configuration; false means that it doesn't come up.
func (r *run) begin(ctx context.Context) bool {
	r.tell("%d processes on %d machines; plan %s", len(r.services), len(r.tier.Machines), r.plan.Text())
	for _, s := range r.services {
		s.mutex.Lock()
		s.startLocked()
		s.mutex.Unlock()
	}
	if !r.until(ctx, beginBound, func() bool { return r.operator.order(ctx) }) {
		r.violate("BEGIN", "the first configuration is not acknowledged")
		return false
	}
	if err := r.tier.WaitReady(ctx); err != nil {
		r.violate("BEGIN", "%v", err)
		return false
	}
	if !r.until(ctx, beginBound, r.learnShards) {
		r.violate("BEGIN", "no shards are placed")
		return false
	}
	if !r.until(ctx, beginBound, func() bool { return r.groups(ctx).whole == r.shards }) {
		r.violate("BEGIN", "%v", r.groups(ctx))
		return false
	}
	r.result.Shards = r.shards
	r.tell("the tier is whole, with %d shards", r.shards)
	return true
}

// day plays the troubles under traffic, and the closing one, and measures how the tier comes back from it.
func (r *run) day(ctx context.Context) {
	working, endTraffic := context.WithCancel(ctx)
	var traffic, troubles sync.WaitGroup
	for range programLanes {
		traffic.Go(func() { r.clients.work(working) })
	}
	ordering, endOrders := context.WithCancel(working)
	traffic.Go(func() { r.operator.work(ordering) })
	traffic.Go(func() { r.operator.readWork(working) })
	start := time.Now()
	for _, trouble := range r.plan.Troubles {
		troubles.Go(func() {
			if localtier.Pause(ctx, time.Until(start.Add(trouble.At))) == nil {
				r.strike(ctx, trouble)
			}
		})
	}
	_ = localtier.Pause(ctx, time.Until(start.Add(r.plan.Length)))
	troubles.Wait()
	r.close(ctx)
	back := time.Now()
	endOrders() // a new configuration has to reach all proxies before the next one
	r.recover(ctx, back)
	endTraffic()
	traffic.Wait()
}

// watch looks for processes that have ended by themselves.
func (r *run) watch(ctx context.Context) {
	for localtier.Pause(ctx, pollPause) == nil {
		for _, s := range r.services {
			s.watch()
		}
	}
}

// end ends all processes.
func (r *run) end() {
	for _, problem := range localtier.Stop(r.tier.Processes, termBound) {
		r.violate("TERM", "%s", problem)
	}
	r.tell("all processes have ended")
}

// troubleWords are what no log must hold.
var troubleWords = []string{"panic:", "fatal error:", "DATA RACE", "replica stopped", "process ends", "goroutine 1 [", invariant.Message}

// readLogs looks for what no process must log.
func (r *run) readLogs() {
	for _, s := range r.services {
		content, err := os.ReadFile(s.LogPath())
		if err != nil {
			r.violate("HARNESS", "%v", err)
			continue
		}
		for line := range strings.Lines(string(content)) {
			if slices.ContainsFunc(troubleWords, func(word string) bool { return strings.Contains(line, word) }) {
				r.violate("LOG", "%s: %s", filepath.Base(s.LogPath()), strings.TrimSpace(line))
			}
		}
	}
}

// tell writes one line of the report.
func (r *run) tell(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.options.Report, "%s %6.2f s  %s\n", time.Now().Format("15:04:05.000"), time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// violate notes what broke a rule.
func (r *run) violate(kind, format string, values ...any) {
	violation := Violation{Kind: kind, At: time.Since(r.began), Text: fmt.Sprintf(format, values...)}
	r.tell("BROKEN: %v", violation)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Violations = append(r.result.Violations, violation)
}

// intN draws a number below n.
func (r *run) intN(n int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.random.IntN(n)
}

// until waits until something holds; false means that it doesn't within the time.
func (r *run) until(ctx context.Context, patience time.Duration, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for !holds() {
		if localtier.Pause(ctx, pollPause) != nil {
			return false
		}
	}
	return true
}

// Text tells a result in one line.
func (r Result) Text() string {
	text := fmt.Sprintf("shards=%d programs=%d turns=%d served=%d continued=%d orders=%d reads=%d disks=%d allServedS=%.2f ownedS=%.2f wholeS=%.2f pressure=%.2f firstServed=",
		r.Shards, r.Programs, r.Turns, r.Served, r.Continued, r.Orders, r.Reads, r.Disks, r.AllServed.Seconds(), r.Owned.Seconds(), r.Whole.Seconds(), r.Pressure)
	for _, proxy := range slices.Sorted(maps.Keys(r.FirstServed)) {
		text += fmt.Sprintf("%s:%.2f,", proxy, r.FirstServed[proxy].Seconds())
	}
	return fmt.Sprintf("%s violations=%v", strings.TrimSuffix(text, ","), r.Kinds())
}
