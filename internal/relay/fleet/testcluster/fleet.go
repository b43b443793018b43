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
	fleetID  = "testcluster" // name of the fleet in the relays' configuration
)

// Fleet has the relay processes, the links between them, and the stand-ins for their environment.
type Fleet struct {
	Relays     []*Relay
	plan       Scenario
	binary     string // path of the relay's program
	dir        string // folder of configuration files, logs and state
	started    time.Time
	endpoints  *standin.Endpoints
	discovery  *standin.Discovery
	links      map[[2]int]*link         // by the indices of the two relays, the larger first
	adminPeers map[string]*config.Peers // configuration for operators' requests, by relay

	mu                 sync.Mutex // guards all fields below, except the elements of clientRates
	history            []checker.Entry
	callsByMessage     map[string]int // number of calls that took effect, by message ID
	FaultsDuringChange map[string]int // by kind, injected while a change was in progress
	changes            []change
	diskCopies         map[string]string // folders of copies, by relay
	partnerLimit       float64           // current limit of each partner, in calls/s; 0: unlimited
	pastBounds         []checker.Bound   // bounds by the limits before the current one
	buckets            [partners]tokenBucket
	limitKnownFrom     time.Duration // time from which all relays know the first limit
	partnersDown       [partners]bool
	callsByRelay       map[string]int  // number of calls that took effect, by relay
	throttled          int             // number of throttled calls
	clientRates        []atomic.Uint64 // messages/s by relay, as bits of a float64
}

// New creates the configuration files, links and stand-ins of a fleet in dir, without starting relays. The caller must call Close.
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

// newRelay returns the relay with an index and free addresses. Its process does not run yet.
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

// openLinks opens a link between each voter and each other relay. Relays that are not voters don't communicate with each other.
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

// linkBetween returns the link between two relays, nil for none, and the index of relay's side.
func (f *Fleet) linkBetween(relay, other *Relay) (*link, int) {
	if between := f.links[[2]int{relay.Index, other.Index}]; between != nil {
		return between, 0
	}
	return f.links[[2]int{other.Index, relay.Index}], 1
}

// now returns the time since the creation of the fleet, which is the clock of the history.
func (f *Fleet) now() time.Duration { return time.Since(f.started) }

// record appends an entry to the history, with the current time if it has none.
func (f *Fleet) record(e checker.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.At == 0 {
		e.At = f.now()
	}
	f.history = append(f.history, e)
}

// pollInterval is the time between two checks of a condition in Await.
const pollInterval = 20 * time.Millisecond

// Await polls a condition until it holds or the timeout has passed, and reports whether it holds.
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

// Close kills the processes of all relays, and closes links and stand-ins.
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
