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
	Seed        uint64                                // of the network's delays and of all draws of the fleet
	Controllers int                                   // machines with a controller; default 3
	Stores      int                                   // machines with a store; default 4
	Edges       int                                   // machines with an agent and a proxy; default 2
	Zones       int                                   // over which the machines are spread; default 3
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

// machines is the number of machines of a class at the first start.
func (o Options) machines(of class) int {
	switch of {
	case coreClass:
		return o.Controllers
	case storageClass:
		return o.Stores
	}
	return o.Edges
}

// Conditions of the network and the disks.
const (
	defaultDelay    = 300 * time.Microsecond
	defaultJitter   = 400 * time.Microsecond
	defaultSyncTime = 2 * time.Millisecond
)

// Fleet is a complete system with those who use it.
type Fleet struct {
	options     Options
	started     time.Time
	network     *memorynetwork.Network
	environment *environment
	history     *history
	goroutines  sync.WaitGroup // processes, and calls of after

	mutex             sync.Mutex
	random            *rand.Rand
	machines          []*machine
	hosts             int // that were ever added
	seedAddresses     []string
	closed            bool
	violations        []string
	endpointFaults    endpointFaults
	ackLossRate       float64              // rate of the answers to operators that are lost
	onAcknowledgement func(address string) // called at each acknowledgement; set before any
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

// add makes a machine that is down.
func (f *Fleet) add(class class) *machine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hosts++
	m := &machine{fleet: f, name: fmt.Sprintf("%s-%d", class, f.hosts), class: class, zone: zoneName(f.hosts % f.options.Zones), roles: rolesOf[class],
		host: f.network.Machine(fmt.Sprintf("10.1.0.%d", f.hosts)), processes: map[role]*process{}, down: true,
		disk: &disk{memory: memorydisk.New(), syncTime: defaultSyncTime}}
	f.machines = append(f.machines, m)
	return m
}

// machinesOf lists the machines of some classes that haven't been removed.
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

// quorumMachines lists the machines that count for a quorum.
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

// Close ends all processes with SIGTERM, and those who use them. A goroutine that is left right then is a leak, which the bubble finds.
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

// report records a breach of a rule.
func (f *Fleet) report(rule, format string, arguments ...any) {
	f.trace("BREACH "+rule+" "+format, arguments...)
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

// intN draws a number below n.
func (f *Fleet) intN(n int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.IntN(n)
}

// waitUntil waits until a condition holds; false means that it didn't within the timeout.
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

// dialFrom opens connections for a process that is no part of the tier.
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

// Violations lists the breaches so far.
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
