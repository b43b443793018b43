package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"mastusher/internal/tier/network/memorynetwork"
	"mastusher/internal/tier/storage/memorydisk"
)

// Options describe a fleet. A zero field takes its default.
type Options struct {
	Seed        uint64                                // of the network's delays and all random numbers of the fleet
	Controllers int                                   // machines with a controller; default 3
	Stores      int                                   // machines with a store; default 4
	Edges       int                                   // machines with an agent and a proxy; default 2
	Zones       int                                   // zones over which the machines are distributed; default 3
	Folder      string                                // where the settings files are written; must exist
	Trace       func(format string, arguments ...any) // called for each event, from many goroutines; nil: no trace
}

func (o Options) withDefaults() Options {
	for field, value := range map[*int]int{&o.Controllers: 3, &o.Stores: 4, &o.Edges: 2, &o.Zones: 3} {
		if *field == 0 {
			*field = value
		}
	}
	return o
}

// machines returns the initial number of machines of a class.
func (o Options) machines(of class) int {
	switch of {
	case coreClass:
		return o.Controllers
	case storageClass:
		return o.Stores
	}
	return o.Edges
}

// Latencies of the network and the disks without faults.
const (
	defaultDelay    = 300 * time.Microsecond
	defaultJitter   = 400 * time.Microsecond
	defaultSyncTime = 2 * time.Millisecond
)

// Fleet is a complete tier with the operators, clients and endpoints around it.
type Fleet struct {
	options     Options
	started     time.Time
	network     *memorynetwork.Network
	environment *environment
	history     *history
	goroutines  sync.WaitGroup // processes, scheduled faults and readiness polls

	mutex             sync.Mutex
	random            *rand.Rand
	machines          []*machine
	machinesAdded     int // including removed ones
	seedAddresses     []string
	closed            bool
	violations        []string
	endpointFaults    endpointFaults
	ackLossRate       float64              // probability that an answer to an operator is lost
	onAcknowledgement func(address string) // called with the controller of each acknowledgement; set before the first one
}

// New returns a fleet whose machines are down.
func New(options Options) (*Fleet, error) {
	options = options.withDefaults()
	f := &Fleet{options: options, started: time.Now(), history: &history{}, random: rand.New(rand.NewPCG(options.Seed, 0x666c6565)),
		network: memorynetwork.New(memorynetwork.Options{Delay: defaultDelay, Jitter: defaultJitter, Seed: options.Seed})}
	for _, class := range []class{coreClass, storageClass, edgeClass} { // in this order, so that a seed gives the same names and zones
		for range options.machines(class) {
			f.add(class).initial = true
		}
	}
	f.seedAddresses = f.controlAddresses()
	var err error
	f.environment, err = f.newEnvironment()
	return f, err
}

// add adds a machine that is down.
func (f *Fleet) add(class class) *machine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.machinesAdded++
	m := &machine{fleet: f, name: fmt.Sprintf("%s-%d", class, f.machinesAdded), class: class, zone: zoneName(f.machinesAdded % f.options.Zones), roles: rolesOf[class],
		host: f.network.Machine(fmt.Sprintf("10.1.0.%d", f.machinesAdded)), processes: map[role]*process{}, down: true,
		disk: &disk{memory: memorydisk.New(), syncTime: defaultSyncTime}}
	f.machines = append(f.machines, m)
	return m
}

// machinesOf returns the machines of the classes, without removed ones.
func (f *Fleet) machinesOf(classes ...class) []*machine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var found []*machine
	for _, m := range f.machines {
		if !m.removed && slices.Contains(classes, m.class) {
			found = append(found, m)
		}
	}
	return found
}

// quorumMachines returns the machines that count for a quorum.
func (f *Fleet) quorumMachines() []*machine { return f.machinesOf(coreClass, storageClass) }

func (f *Fleet) controlAddresses() []string {
	var addresses []string
	for _, m := range f.machinesOf(coreClass) {
		addresses = append(addresses, m.address(controlPort))
	}
	return addresses
}

// StartAll starts all machines that are down.
func (f *Fleet) StartAll() {
	for _, m := range f.machinesOf(coreClass, storageClass, edgeClass) {
		m.startAll()
	}
}

// Close ends all processes with SIGTERM, then the environment. A goroutine that still runs after it is a leak, which the bubble
// reports.
func (f *Fleet) Close() {
	f.mutex.Lock()
	f.closed = true
	f.mutex.Unlock()
	var ending sync.WaitGroup
	for _, m := range f.machinesOf(coreClass, storageClass, edgeClass) {
		ending.Go(m.terminateAll)
	}
	ending.Wait()
	f.environment.close()
	f.goroutines.Wait()
}

func (f *Fleet) now() time.Duration { return time.Since(f.started) }

func (f *Fleet) trace(format string, arguments ...any) {
	if f.options.Trace != nil {
		f.options.Trace("%9.3f "+format, append([]any{f.now().Seconds()}, arguments...)...)
	}
}

// report records a violation of a rule.
func (f *Fleet) report(rule, format string, arguments ...any) {
	f.trace("VIOLATION "+rule+" "+format, arguments...)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.violations = append(f.violations, fmt.Sprintf("%s at %.3f s: %s", rule, f.now().Seconds(), fmt.Sprintf(format, arguments...)))
}

// after calls run after a delay, in a goroutine of its own that Close waits for.
func (f *Fleet) after(delay time.Duration, run func()) {
	f.goroutines.Go(func() {
		time.Sleep(delay)
		run()
	})
}

// intN returns a random number below n.
func (f *Fleet) intN(n int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(n)
}

// waitUntil waits until a condition holds, and reports whether it did within the timeout.
func (f *Fleet) waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); ; {
		if condition() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is how often waitUntil checks its condition.
const pollInterval = 50 * time.Millisecond

// dialFrom returns a dialer for a process outside the tier.
func dialFrom(from *memorynetwork.Process) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return from.Dial(ctx, new(net.Dialer), network, address)
	}
}

func (f *Fleet) isClosed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.closed
}

// Violations returns the violations reported so far.
func (f *Fleet) Violations() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.violations)
}

// allReady reports whether all proxies answer that they are ready.
func (f *Fleet) allReady(users *clients) bool {
	for _, m := range f.machinesOf(edgeClass) {
		if !users.isReady(m) {
			return false
		}
	}
	return true
}
