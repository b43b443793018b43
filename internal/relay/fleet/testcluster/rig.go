package testcluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/peer"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/standin"
)

const (
	partners = 3
	fleetID  = "rig"
)

// Relay is one process, or the place of one.
type Relay struct {
	Name  string
	No    int
	Front string // address for clients
	peers string
	dir   string
	file  string
	rate  float64 // of its fleet's clock, in builds for the rig
	slow  string  // by how much longer its disk takes

	mu      sync.Mutex
	cmd     *exec.Cmd // nil: it does not run
	stopped bool
	ending  chan struct{} // closed once the life before has ended; nil: there was none
}

// Fleet is the processes and all that stands around them.
type Fleet struct {
	Relays []*Relay
	plan   Scenario
	binary string
	dir    string
	begun  time.Time
	ends   *standin.Endpoints
	disco  *standin.Discovery
	links  map[[2]int]*link
	asks   map[string]*config.Peers

	mu       sync.Mutex
	history  []checker.Entry
	calls    map[string]int // by message
	Struck   map[string]int // faults that were done while a change was under way
	changes  []change
	copies   map[string]string // older folders
	limit    float64           // of partners, now; 0: none
	limits   []checker.Bound   // that held for a time
	meters   [partners]meter
	sharedAt time.Duration // from then on all know the limit
	broken   [partners]bool
	served   map[string]int // calls let in, by relay
	refused  int            // calls
	rates    []atomic.Uint64
}

// change is one that was handed in.
type change struct {
	ticket, base uint64
	at, until    time.Duration // until: when its end was first heard of
	version      uint64        // 0: dropped, or not known
	over         bool
	doc          string
}

// New sets up a fleet's folders, links and stand-ins; nothing of it runs yet.
func New(plan Scenario, binary, dir string) (f *Fleet, err error) {
	f = &Fleet{plan: plan, binary: binary, dir: dir, begun: time.Now(), links: map[[2]int]*link{}, asks: map[string]*config.Peers{},
		calls: map[string]int{}, Struck: map[string]int{}, copies: map[string]string{}, served: map[string]int{}, limit: plan.Limit, rates: make([]atomic.Uint64, plan.Relays)}
	for i := range f.rates {
		rate := plan.Rate
		if i < len(plan.Rates) {
			rate = plan.Rates[i]
		}
		f.rates[i].Store(math.Float64bits(rate))
	}
	if f.ends, err = standin.NewEndpoints(partners, f.called); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	list := f.ends.List(partners, "news-groups", "a")
	if f.disco, err = standin.NewDiscovery(list); err != nil {
		return nil, err
	}
	for i := range plan.Relays {
		r := &Relay{Name: "r" + strconv.Itoa(i), No: i, rate: 1}
		r.dir, r.file = filepath.Join(dir, r.Name), filepath.Join(dir, r.Name+".json")
		if r.Front, err = spare(); err == nil {
			r.peers, err = spare()
		}
		if err != nil {
			return nil, err
		}
		if i < len(plan.Clocks) && plan.Clocks[i] > 0 {
			r.rate = plan.Clocks[i]
		}
		if i < len(plan.Disks) {
			r.slow = plan.Disks[i]
		}
		f.Relays = append(f.Relays, r)
	}
	for i, a := range f.Relays {
		for j, b := range f.Relays[:min(i, plan.Voters)] { // relays that have no say don't talk to each other
			l, err := newLink(netip.MustParseAddrPort(a.peers), netip.MustParseAddrPort(b.peers), plan.Seed^uint64(i*1000+j))
			if err != nil {
				return nil, err
			}
			l.ways[0].Store(&plan.Links)
			l.ways[1].Store(&plan.Links)
			f.links[[2]int{i, j}] = l
		}
	}
	for _, r := range f.Relays {
		if err := f.configure(r, list); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// lastPort is the port that was given out last: below those that the system gives to whoever connects, which may take a
// relay's while it is down.
var lastPort atomic.Int32

// spare is an address on loopback that nobody listens at, of TCP or UDP.
func spare() (string, error) {
	lastPort.CompareAndSwap(0, int32(10000+os.Getpid()*61%15000))
	for range 20000 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(10000+int(lastPort.Add(1))%20000))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		c, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		return address, c.Close()
	}
	return "", errors.New("no port is free")
}

const settings = `{"peers_total": %d, "me": %d, "round": 5000, "localities": ["a"], "machine_types": ["news-groups"],
  "allowed": {"cancel": true, "max_attempts": 6, "max_open": 2000, "max_retry_after": 3000000, "retry_after": true, "conn_idle": 15000000,
    "connect_timeout": 1500000}, "report": {"fields": ["x0", "x1"], "how": "TEXT"}, "family_info": {"workers": 32, "per_call": [1], "kind_apart": [true]}, "lanes": [
    {"name": "match-event", "effect": "token", "group": "all", "memory_span": 4000000, "aim": 3000000, "deadline": 16000000, "worth": 1},
    {"name": "transfer", "effect": "side_effect", "aim": 3000000, "deadline": 16000000, "worth": 2}],
  "rules": {"cold": 14000000, "drain_grace": 250000, "fall": 2000000, "overload_factor": 2, "start_capacity": 0.21}}`

func (f *Fleet) configure(r *Relay, list string) error {
	others, voters := map[string]string{}, []string{}
	for _, o := range f.Relays {
		if o.No < f.plan.Voters {
			voters = append(voters, o.Name)
		}
		if l, i := f.between(r, o); l != nil {
			others[o.Name] = l.address(i)
		} else if o != r {
			others[o.Name] = o.peers
		}
	}
	v := map[string]any{"name": r.Name, "listen": r.Front, "state": r.dir, "discovery": f.disco.Address, "seed": fmt.Sprintf("%016x", r.No+1),
		"known": json.RawMessage(list), "limits": map[string]any{"disk_mb": 3},
		"settings": json.RawMessage(fmt.Sprintf(settings, len(f.Relays), r.No)),
		"peers": map[string]any{"fleet": fleetID, "name": r.Name, "listen": r.peers, "others": others, "voters": voters,
			"lease": f.plan.Lease.String(), "alone": f.plan.Alone, "drift": f.plan.Drift}}
	if f.plan.Share > 0 {
		v["peers"].(map[string]any)["share"] = map[string]any{"kept": f.plan.Share}
	}
	if f.plan.bare {
		delete(v, "peers")
	}
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(r.dir, 0o700); err != nil {
		return err
	}
	f.asks[r.Name] = &config.Peers{Fleet: fleetID, Listen: r.peers}
	return os.WriteFile(r.file, b, 0o600)
}

// between is the link of two relays, and which of its ends is r's; nil: there is none.
func (f *Fleet) between(r, o *Relay) (*link, int) {
	if l := f.links[[2]int{r.No, o.No}]; l != nil {
		return l, 0
	}
	return f.links[[2]int{o.No, r.No}], 1
}

func (f *Fleet) now() time.Duration { return time.Since(f.begun) }

func (f *Fleet) note(e checker.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.At == 0 {
		e.At = f.now()
	}
	f.history = append(f.history, e)
}

// called is a partner that takes every call, and notes under which policy it was made.
func (f *Fleet) called(a standin.Arrival) httpwire.Answer {
	e := checker.Entry{At: a.At.Sub(f.begun), Kind: checker.Acted, ID: a.ID, To: strconv.Itoa(a.Endpoint)}
	e.Relay, _, _ = strings.Cut(a.ID, "-")
	if v := a.Header["X-Policy-Version"]; len(v) == 1 {
		e.Version, _ = strconv.ParseUint(v[0], 10, 64)
	}
	answer := httpwire.Answer{Status: 200}
	f.mu.Lock()
	f.history = append(f.history, e)
	if f.broken[a.Endpoint] { // it never takes effect
		f.mu.Unlock()
		return httpwire.Answer{Status: 500}
	}
	if f.limit > 0 {
		let := f.meters[a.Endpoint].take(a.At, f.limit)
		answer.Header = []string{"X-Server-Load", fmt.Sprintf("TEXT x0=%.3f, x1=%.3f", f.meters[a.Endpoint].left(f.limit), f.limit)}
		if !let {
			f.refused++
			f.mu.Unlock()
			answer.Status = 429
			return answer
		}
	}
	f.calls[a.ID]++
	f.served[e.Relay]++
	n := f.calls[a.ID]
	f.mu.Unlock()
	if n > 1 && a.Key == "" { // of that class nothing may be sent twice
		f.note(checker.Entry{Kind: checker.Broke, Relay: e.Relay, ID: a.ID, Text: a.ID + " was sent twice"})
	}
	return answer
}

// meter is a partner's limit: what is left of a second's calls. Refused calls use it up too, down to a debt of 0.6 s.
type meter struct {
	tokens float64
	at     time.Time
}

func (m *meter) take(now time.Time, limit float64) bool {
	if m.at.IsZero() {
		m.tokens = limit
	} else {
		m.tokens = min(m.tokens+limit*now.Sub(m.at).Seconds(), limit)
	}
	m.at = now
	let := m.tokens >= 1
	m.tokens = max(m.tokens-1, -0.6*limit)
	return let
}

func (m *meter) left(limit float64) float64 { return max(0, m.tokens/limit) }

// Start begins a life of a relay with its folder as it is.
func (f *Fleet) Start(r *Relay) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		return nil
	}
	if r.ending != nil { // it drains, and has folder and ports until that is over
		<-r.ending
	}
	log, err := os.OpenFile(filepath.Join(f.dir, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.binary, "serve", "--config", r.file, "--log-format", "json")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=", "MASTUSHER_CLOCK_RATE="+strconv.FormatFloat(r.rate, 'f', -1, 64), "MASTUSHER_SLOW_DISK="+r.slow, "MASTUSHER_FULL_DISK="+r.full())
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("the relay's program: %w", err)
	}
	r.cmd, r.stopped = cmd, false
	f.note(checker.Entry{Kind: checker.Started, Relay: r.Name})
	return nil
}

// full is the file that fills the disk of a relay's fleet folder while it is there.
func (r *Relay) full() string { return r.dir + ".full" }

// signal sends a relay a signal; false: it does not run.
func (r *Relay) signal(s syscall.Signal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd == nil {
		return false
	}
	switch s {
	case syscall.SIGSTOP:
		r.stopped = true
	case syscall.SIGCONT:
		r.stopped = false
	}
	return r.cmd.Process.Signal(s) == nil
}

// end ends a relay's life by a signal, and waits for that.
func (f *Fleet) end(r *Relay, s syscall.Signal) {
	r.mu.Lock()
	cmd, stopped := r.cmd, r.stopped
	if cmd == nil {
		r.mu.Unlock()
		return
	}
	r.cmd = nil
	ending := make(chan struct{})
	r.ending = ending
	r.mu.Unlock()
	defer close(ending)
	_ = cmd.Process.Signal(s)
	if stopped {
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
	late := time.AfterFunc(20*time.Second, func() {
		if s != syscall.SIGKILL {
			f.note(checker.Entry{Kind: checker.Broke, Relay: r.Name, Text: "it does not end after SIGTERM"})
		}
		_ = cmd.Process.Kill()
	})
	_ = cmd.Wait()
	late.Stop()
}

// Running tells whether a relay runs and is not stopped.
func (r *Relay) Running() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd != nil && !r.stopped
}

// Ask puts a question to a relay, for a while.
func (f *Fleet) Ask(r *Relay, q node.AdminRequest, within time.Duration) (*node.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	st, err := peer.Ask(ctx, f.asks[r.Name], q)
	if err == nil {
		f.heard(r, st)
	}
	return st, err
}

// heard notes what a relay says of versions that are over.
func (f *Fleet) heard(r *Relay, st *node.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.now()
	for _, p := range st.State.PastChanges {
		for i := range f.changes {
			if c := &f.changes[i]; c.ticket == p.Ticket && !c.over {
				if c.over, c.until = true, at; p.DropReason == "" {
					c.version = p.Version
				}
			}
		}
		if p.Version != 0 {
			f.history = append(f.history, checker.Entry{At: at, Kind: checker.Said, Relay: r.Name, Version: p.Version, Digest: p.Digest, Dropped: p.DropReason != ""})
		}
	}
}

// Await waits until something holds, which is looked at again and again.
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

// Act tells whether all relays that run act, under a version if it is not 0.
func (f *Fleet) Act(version uint64) bool {
	for _, r := range f.Relays {
		if !r.Running() {
			continue
		}
		st, err := f.Ask(r, node.AdminRequest{Op: "status"}, time.Second)
		if err != nil || !st.MayAct || version != 0 && st.State.Version != version {
			return false
		}
	}
	return true
}

// Close ends all processes, by their ids, and the stand-ins.
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for _, r := range f.Relays {
		all.Go(func() { f.end(r, syscall.SIGKILL) })
	}
	all.Wait()
	for _, l := range f.links {
		l.close()
	}
	if f.disco != nil {
		f.disco.Close()
	}
	f.ends.Close()
}
