package peer

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

// Fleet is this relay's part in its fleet while the process runs. One goroutine owns the node.
type Fleet struct {
	cfg   *config.Peers
	rules *Rules
	log   *slog.Logger
	conn  *net.UDPConn
	disk  *disk
	node  *node.Node
	begun time.Time
	self  netip.Addr // of this relay's socket
	stand func(node.Stand, Times, func())
	core  Core // nil: nothing is shared

	addresses map[string]netip.AddrPort // of peers
	gens      map[string]uint64         // the newest that was heard of each
	events    chan node.Event
	packets   chan packet
	free      sync.Pool
	ended     chan struct{}
	done      chan struct{}

	askers map[uint64]asker // by the number of their ask here
	lastNo uint64
	counts map[string]int // of frames dropped, by fault
	out    []byte

	sights atomic.Pointer[map[quota.Key]sight]
	lent   *quota.Lease // by the fleet last; nil: nothing yet
	lentAt time.Duration
	halted bool // the core was told last that it is
	lookAt time.Duration
}

type packet struct {
	b    *[]byte
	n    int
	from netip.AddrPort
}

type asker struct {
	at netip.AddrPort
	no uint64
}

// Times turns the node's clock into the process's.
type Times struct {
	begun time.Time
}

// At is a moment of the node's clock; 0 is none.
func (t Times) At(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return t.begun.Add(time.Duration(float64(d) / clockRate))
}

const (
	mostPackets = 256 // that wait to be read, and events beside them
	mostAskers  = 64
)

// Open takes the relay's place in its fleet; stand is told what it may do, and calls back once that holds.
func Open(cfg *config.Config, rules *Rules, log *slog.Logger, core Core, stand func(node.Stand, Times, func())) (*Fleet, error) {
	p := cfg.Peers
	f := &Fleet{cfg: p, rules: rules, log: log, stand: stand, addresses: map[string]netip.AddrPort{}, gens: map[string]uint64{},
		events: make(chan node.Event, mostPackets), packets: make(chan packet, mostPackets), ended: make(chan struct{}),
		done: make(chan struct{}), askers: map[uint64]asker{}, counts: map[string]int{}, begun: time.Now()}
	zone := max(0, cfg.Settings.Zone)
	if p.GuaranteedShare > 0 {
		f.core = core
	}
	f.free.New = func() any { b := make([]byte, mostFrame+1); return &b }
	listen, err := net.ResolveUDPAddr("udp4", p.Listen)
	if err != nil {
		return nil, &config.KeyError{Key: "peers.listen", Reason: err.Error()}
	}
	for name, address := range p.Addresses {
		a, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, &config.KeyError{Key: "peers.others." + name, Reason: err.Error()}
		}
		f.addresses[name] = a
	}
	if f.conn, err = net.ListenUDP("udp4", listen); err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	disk, image, why, err := openDisk(p.State, p.Fleet, draw)
	if err != nil {
		_ = f.conn.Close()
		return nil, err
	}
	f.disk = disk
	if why != nil {
		log.Error("this relay comes back as a new member of its fleet", "error", why)
	}
	f.node, err = node.New(node.Config{Name: p.Name, Gen: disk.id.Gen, Life: draw() | 1, Seed: draw(), Member: disk.member, Voters: p.Voters,
		Roster: p.Roster(), Lease: p.Lease, Drift: p.Drift, Serve: p.ServeWhenPartitioned, Kept: p.GuaranteedShare, Zone: zone}, image, f.now())
	if err != nil { // what lies there is sound but makes no sense
		log.Error("this relay comes back as a new member of its fleet", "error", err)
		disk.member = draw() | 1
		if err = disk.rewrite(wiped()); err == nil {
			f.node, err = node.New(node.Config{Name: p.Name, Gen: disk.id.Gen, Life: draw() | 1, Seed: draw(), Member: disk.member,
				Voters: p.Voters, Roster: p.Roster(), Lease: p.Lease, Drift: p.Drift, Serve: p.ServeWhenPartitioned, Kept: p.GuaranteedShare, Zone: zone}, wiped(), f.now())
		}
		if err != nil {
			_ = f.conn.Close()
			return nil, err
		}
	}
	f.self = f.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
	go f.read()
	go f.run()
	log.Info("the relay takes part in a fleet", "fleet", p.Fleet, "name", p.Name, "generation", disk.id.Gen, "peers", f.conn.LocalAddr().String())
	return f, nil
}

func draw() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:])
}

// now is the node's clock: monotonic, from the process's start.
func (f *Fleet) now() time.Duration {
	return time.Duration(float64(time.Since(f.begun))*clockRate) + time.Millisecond
}

// Close ends the relay's part: its lease runs out by itself.
func (f *Fleet) Close() {
	close(f.ended)
	_ = f.conn.Close()
	<-f.done
}

func (f *Fleet) read() {
	for {
		b := f.free.Get().(*[]byte)
		n, from, err := f.conn.ReadFromUDPAddrPort(*b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.free.Put(b)
			continue // a peer's port that nobody listens at
		}
		select {
		case f.packets <- packet{b, n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}:
		default: // it can't keep up: lost, as on any link
			f.free.Put(b)
		}
	}
}

// tell hands an event to the node's goroutine, from others.
func (f *Fleet) tell(ev node.Event) {
	select {
	case f.events <- ev:
	case <-f.ended:
	}
}

func (f *Fleet) run() {
	defer close(f.done)
	timer := time.NewTimer(0)
	var events []node.Event
	for {
		next := f.node.Next(f.now())
		if f.core != nil {
			if f.now() >= f.lookAt {
				f.lookAt = f.now() + f.cfg.Lease/looksEach
				f.look()
			}
			next = min(next, f.lookAt-f.now())
		}
		timer.Reset(max(next, 0))
		events = events[:0]
		select {
		case <-f.ended:
			return
		case ev := <-f.events:
			events = append(events, ev)
		case p := <-f.packets:
			events = f.take(p, events)
		case <-timer.C:
		}
		for more := true; more && len(events) < mostPackets; {
			select {
			case ev := <-f.events:
				events = append(events, ev)
			case p := <-f.packets:
				events = f.take(p, events)
			default:
				more = false
			}
		}
		// What an action brings about at once is taken in with the next step, which comes without delay.
		for failed := f.act(f.node.Step(f.now(), events)); failed != nil; {
			failed = f.act(f.node.Step(f.now(), []node.Event{{Broken: failed}}))
		}
	}
}

// take reads a datagram. Whatever is not a peer's word of today is counted and dropped.
func (f *Fleet) take(p packet, events []node.Event) []node.Event {
	fr, kind, err := unpack((*p.b)[:p.n])
	f.free.Put(p.b)
	switch {
	case err != nil:
	case fr.Fleet != f.cfg.Fleet:
		err = errFleet
	case kind == kindAsk && fr.Ask != nil && (p.from.Addr().IsLoopback() || p.from.Addr() == f.self):
		if len(f.askers) >= mostAskers {
			clear(f.askers)
		}
		f.lastNo++
		f.askers[f.lastNo] = asker{p.from, fr.Ask.No}
		fr.Ask.No = f.lastNo
		return append(events, node.Event{Ask: fr.Ask})
	case kind != kindPeer || fr.Message == nil || f.addresses[fr.From] != p.from:
		err = errStranger
	case fr.To != f.cfg.Name:
		err = errFor
	case fr.Gen < f.gens[fr.From] && fr.Message.Ping == nil: // of pings the leader tells two relays of one name apart
		err = errOld
	}
	if err != nil {
		if f.counts[err.Error()]++; err == errStranger && f.counts[err.Error()] == 1 {
			f.log.Warn("rejected message from unknown peer", "peer", fr.From, "address", p.from, "suppressed", "later ones")
		}
		return events
	}
	f.gens[fr.From] = max(f.gens[fr.From], fr.Gen)
	return append(events, node.Event{From: fr.From, Message: fr.Message})
}

// act carries out a step's actions in their order. After a save that failed nothing more is: it returns why.
func (f *Fleet) act(actions []node.Action) error {
	for i := range actions {
		a := &actions[i]
		switch {
		case a.Save != nil:
			if err := f.disk.save(a.Save, a.Member); err != nil {
				f.log.Error("the fleet's agreement can't be saved", "error", err)
				return err
			}
		case a.Gen != 0:
			f.disk.id.Gen = a.Gen
			if err := f.disk.identify(); err != nil {
				f.log.Error("the relay's generation can't be saved", "error", err)
				return err
			}
		case a.Message != nil:
			f.send(f.addresses[a.To], kindPeer, &frame{Fleet: f.cfg.Fleet, From: f.cfg.Name, To: a.To, Gen: f.disk.id.Gen, Message: a.Message})
		case a.Check != nil:
			ch := a.Check
			go func() {
				v := &node.Verdict{Version: ch.Version}
				if err := f.rules.Check(ch.Doc); err != nil {
					v.No = err.Error()
				}
				f.tell(node.Event{Verdict: v})
			}()
		case a.Stand != nil:
			f.stands(*a.Stand)
		case a.Spend != nil:
			f.lend(a.Spend)
		case a.Answer != nil:
			if q, ok := f.askers[a.No]; ok {
				delete(f.askers, a.No)
				a.Answer.Rights = f.rights()
				for i := range a.Answer.Shared {
					a.Answer.Shared[i].Name = f.nameOf(f.sights.Load(), a.Answer.Shared[i].Key)
				}
				a.Answer.Counts = maps.Clone(f.counts)
				f.send(q.at, kindAnswer, &frame{Fleet: f.cfg.Fleet, Answer: a.Answer, No: q.no})
			}
		case a.Log != "":
			f.log.Info(a.Log, a.Fields...)
		}
	}
	return nil
}

func (f *Fleet) send(to netip.AddrPort, kind byte, fr *frame) {
	if !to.IsValid() {
		return
	}
	b, err := fr.pack(f.out[:0], kind)
	if err != nil {
		f.log.Error("a message to a peer is not sent", "error", err)
		return
	}
	f.out = b
	_, _ = f.conn.WriteToUDPAddrPort(b, to) // lost, as on any link
}
