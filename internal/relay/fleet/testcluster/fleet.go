package testcluster

import (
	"math"
	"net/netip"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/standin"
)

const (
	partners = 3             // number of partner systems, each with one endpoint
	fleetID  = "testcluster" // name of the fleet in relays' files
)

// Fleet is the processes, the links between them, and the stand-ins around them.
type Fleet struct {
	Relays     []*Relay
	plan       Scenario
	binary     string // of the relay's program
	dir        string // of files, logs and state
	started    time.Time
	endpoints  *standin.Endpoints
	discovery  *standin.Discovery
	links      map[[2]int]*link         // by the numbers of its relays, the larger first
	adminPeers map[string]*config.Peers // for operators' requests, by relay

	mu                 sync.Mutex // guards all that follows, but for the elements of clientRates
	history            []checker.Entry
	callsByMessage     map[string]int // that took effect
	FaultsDuringChange map[string]int // by kind, that were injected while a change was in progress
	changes            []change
	diskCopies         map[string]string // by relay
	partnerLimit       float64           // of each partner now, in calls/s; 0: unlimited
	pastBounds         []checker.Bound   // of limits that held before
	buckets            [partners]tokenBucket
	limitKnownFrom     time.Duration // when all relays know the limit
	partnersDown       [partners]bool
	callsByRelay       map[string]int  // that took effect
	throttled          int             // calls
	clientRates        []atomic.Uint64 // messages/s by relay, as bits of a float64
}

// New sets up the folders, links and stand-ins of a fleet in dir; no relay is started yet. The caller must Close it.
func New(plan Scenario, binary, dir string) (f *Fleet, err error) {
	f = &Fleet{plan: plan, binary: binary, dir: dir, started: time.Now(), links: map[[2]int]*link{}, adminPeers: map[string]*config.Peers{},
		callsByMessage: map[string]int{}, FaultsDuringChange: map[string]int{}, diskCopies: map[string]string{},
		callsByRelay: map[string]int{}, partnerLimit: plan.PartnerLimit, clientRates: make([]atomic.Uint64, plan.Relays)}
	for i := range f.clientRates {
		rate := plan.Rate
		if i < len(plan.RelayRates) {
			rate = plan.RelayRates[i]
		}
		f.clientRates[i].Store(math.Float64bits(rate))
	}
	if f.endpoints, err = standin.NewEndpoints(partners, f.handleCall); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	list := f.endpoints.SnapshotOf(partners, "news-groups", "a")
	if f.discovery, err = standin.NewDiscovery(list); err != nil {
		return nil, err
	}
	for i := range plan.Relays {
		var relay *Relay
		if relay, err = newRelay(&plan, dir, i); err != nil {
			return nil, err
		}
		f.Relays = append(f.Relays, relay)
	}
	if err = f.openLinks(); err != nil {
		return nil, err
	}
	for _, relay := range f.Relays {
		if err = f.writeConfig(relay, list); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// newRelay returns the relay of a number, with free addresses; its process does not run.
func newRelay(plan *Scenario, dir string, index int) (relay *Relay, err error) {
	relay = &Relay{Name: "r" + strconv.Itoa(index), Index: index, clockRate: 1}
	relay.stateDir, relay.configFile = filepath.Join(dir, relay.Name), filepath.Join(dir, relay.Name+".json")
	if relay.ClientAddress, err = spareAddress(); err != nil {
		return nil, err
	}
	if relay.peerAddress, err = spareAddress(); err != nil {
		return nil, err
	}
	if index < len(plan.ClockRates) && plan.ClockRates[index] > 0 {
		relay.clockRate = plan.ClockRates[index]
	}
	if index < len(plan.DiskDelays) {
		relay.diskDelay = plan.DiskDelays[index]
	}
	return relay, nil
}

// openLinks opens a link between each voter and each other relay: relays that don't vote don't talk to each other.
func (f *Fleet) openLinks() error {
	for i, a := range f.Relays {
		for j, b := range f.Relays[:min(i, f.plan.Voters)] {
			opened, err := newLink(netip.MustParseAddrPort(a.peerAddress), netip.MustParseAddrPort(b.peerAddress), f.plan.Seed^uint64(i*1000+j))
			if err != nil {
				return err
			}
			opened.setFaults(&f.plan.Links)
			f.links[[2]int{i, j}] = opened
		}
	}
	return nil
}

// linkBetween returns the link of two relays and which of its sides is relay's; nil: there is none.
func (f *Fleet) linkBetween(relay, other *Relay) (*link, int) {
	if between := f.links[[2]int{relay.Index, other.Index}]; between != nil {
		return between, 0
	}
	return f.links[[2]int{other.Index, relay.Index}], 1
}

// now is the time since the fleet was set up, the clock of the history.
func (f *Fleet) now() time.Duration { return time.Since(f.started) }

// record appends an entry to the history, at the current time unless it has one.
func (f *Fleet) record(e checker.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.At == 0 {
		e.At = f.now()
	}
	f.history = append(f.history, e)
}

// pollInterval is the time between two checks of a condition that is awaited.
const pollInterval = 20 * time.Millisecond

// Await polls a condition until it holds; false: it did not before the time-out.
func (f *Fleet) Await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		if condition() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// Close kills all processes, by their ids, and closes links and stand-ins.
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for _, r := range f.Relays {
		all.Go(func() { f.stop(r, syscall.SIGKILL) })
	}
	all.Wait()
	for _, l := range f.links {
		l.close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	f.endpoints.Close()
}
