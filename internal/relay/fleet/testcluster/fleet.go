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
	partners = 3
	fleetID  = "rig"
)

// Fleet is the processes, the links between them, and the stand-ins around them.
type Fleet struct {
	Relays     []*Relay
	plan       Scenario
	binary     string
	dir        string
	started    time.Time
	endpoints  *standin.Endpoints
	discovery  *standin.Discovery
	links      map[[2]int]*link
	adminPeers map[string]*config.Peers

	mu                 sync.Mutex
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
	callsByRelay       map[string]int // that took effect
	throttled          int            // calls
	clientRates        []atomic.Uint64
}

// New sets up the folders, links and stand-ins of a fleet in dir; no relay is started yet. The caller must Close it.
func New(plan Scenario, binary, dir string) (f *Fleet, err error) {
	f = &Fleet{plan: plan, binary: binary, dir: dir, started: time.Now(), links: map[[2]int]*link{}, adminPeers: map[string]*config.Peers{},
		callsByMessage: map[string]int{}, FaultsDuringChange: map[string]int{}, diskCopies: map[string]string{}, callsByRelay: map[string]int{}, partnerLimit: plan.PartnerLimit, clientRates: make([]atomic.Uint64, plan.Relays)}
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
		relay := &Relay{Name: "r" + strconv.Itoa(i), Index: i, clockRate: 1}
		relay.stateDir, relay.configFile = filepath.Join(dir, relay.Name), filepath.Join(dir, relay.Name+".json")
		if relay.ClientAddress, err = spareAddress(); err == nil {
			relay.peerAddress, err = spareAddress()
		}
		if err != nil {
			return nil, err
		}
		if i < len(plan.ClockRates) && plan.ClockRates[i] > 0 {
			relay.clockRate = plan.ClockRates[i]
		}
		if i < len(plan.DiskDelays) {
			relay.diskDelay = plan.DiskDelays[i]
		}
		f.Relays = append(f.Relays, relay)
	}
	for i, a := range f.Relays {
		for j, b := range f.Relays[:min(i, plan.Voters)] { // relays that don't vote don't talk to each other
			l, err := newLink(netip.MustParseAddrPort(a.peerAddress), netip.MustParseAddrPort(b.peerAddress), plan.Seed^uint64(i*1000+j))
			if err != nil {
				return nil, err
			}
			l.setFaults(&plan.Links)
			f.links[[2]int{i, j}] = l
		}
	}
	for _, r := range f.Relays {
		if err := f.writeConfig(r, list); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// linkBetween returns the link of two relays and which of its sides is r's; nil: there is none.
func (f *Fleet) linkBetween(r, o *Relay) (*link, int) {
	if l := f.links[[2]int{r.Index, o.Index}]; l != nil {
		return l, 0
	}
	return f.links[[2]int{o.Index, r.Index}], 1
}

func (f *Fleet) now() time.Duration { return time.Since(f.started) }

func (f *Fleet) record(e checker.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.At == 0 {
		e.At = f.now()
	}
	f.history = append(f.history, e)
}

// Await polls a condition every 20 ms until it holds; false: it did not in time.
func (f *Fleet) Await(within time.Duration, holds func() bool) bool {
	for end := time.Now().Add(within); ; time.Sleep(20 * time.Millisecond) {
		if holds() {
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
