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

// Fleet is this relay's member of its fleet while the process runs. One goroutine owns the node.
type Fleet struct {
	config       *config.Peers
	rules        *Rules
	log          *slog.Logger
	conn         *net.UDPConn
	disk         *disk
	node         *node.Node
	startedAt    time.Time
	self         netip.Addr // of this relay's socket
	applyMandate func(node.Mandate, Times, func())
	core         Core // nil: nothing is shared

	addresses   map[string]netip.AddrPort // of peers, by name
	generations map[string]uint64         // the newest that was heard of each
	events      chan node.Event
	packets     chan packet
	buffers     sync.Pool
	ended       chan struct{}
	done        chan struct{}

	adminClients  map[uint64]adminClient // by the number that their request has here
	lastRequest   uint64
	droppedFrames map[string]int // by error text
	sendBuffer    []byte

	observedKeys  atomic.Pointer[map[quota.Key]observedKey]
	lease         *quota.Lease // the newest; nil: none yet
	leaseAt       time.Duration
	halted        bool // as the core was notified last
	nextObserveAt time.Duration
}

type packet struct {
	buffer *[]byte
	size   int
	from   netip.AddrPort
}

type adminClient struct {
	at netip.AddrPort
	no uint64
}

// Times turns the node's clock into the process's.
type Times struct {
	startedAt time.Time
}

// At is a moment of the node's clock; 0 is none.
func (t Times) At(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return t.startedAt.Add(time.Duration(float64(d) / clockRate))
}

const (
	maxPackets      = 256 // queue length of packets, and of events; also the maximum a Step takes
	maxAdminClients = 64
)

// Open joins the relay to its fleet. applyMandate is called with each new mandate, and calls back once the core acts by it.
func Open(cfg *config.Config, rules *Rules, log *slog.Logger, core Core, applyMandate func(node.Mandate, Times, func())) (*Fleet, error) {
	p := cfg.Peers
	f := &Fleet{config: p, rules: rules, log: log, applyMandate: applyMandate, addresses: map[string]netip.AddrPort{}, generations: map[string]uint64{},
		events: make(chan node.Event, maxPackets), packets: make(chan packet, maxPackets), ended: make(chan struct{}),
		done: make(chan struct{}), adminClients: map[uint64]adminClient{}, droppedFrames: map[string]int{}, startedAt: time.Now()}
	zone := max(0, cfg.Settings.Zone)
	if p.GuaranteedShare > 0 {
		f.core = core
	}
	f.buffers.New = func() any { b := make([]byte, maxFrameBytes+1); return &b }
	listen, err := net.ResolveUDPAddr("udp4", p.Listen)
	if err != nil {
		return nil, config.NewKeyError("peers.listen", err.Error())
	}
	for name, address := range p.Addresses {
		a, parseErr := netip.ParseAddrPort(address)
		if parseErr != nil {
			return nil, config.NewKeyError("peers.others."+name, parseErr.Error())
		}
		f.addresses[name] = a
	}
	if f.conn, err = net.ListenUDP("udp4", listen); err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	disk, image, why, err := openDisk(p.State, p.Fleet, randomUint64)
	if err != nil {
		_ = f.conn.Close()
		return nil, err
	}
	f.disk = disk
	if why != nil {
		log.Error("rejoining fleet as new member", "err", why)
	}
	f.node, err = node.New(node.Config{Name: p.Name, Generation: disk.id.Generation, Incarnation: randomUint64() | 1, Seed: randomUint64(), Member: disk.member, Voters: p.Voters,
		Roster: p.Roster(), Lease: p.Lease, MaxClockDrift: p.Drift, ServeWhenPartitioned: p.ServeWhenPartitioned, GuaranteedShare: p.GuaranteedShare, Zone: zone}, image, f.now())
	if err != nil { // the records are intact but contradict each other
		log.Error("rejoining fleet as new member", "err", err)
		disk.member = randomUint64() | 1
		if err = disk.rewrite(emptyImage()); err == nil {
			f.node, err = node.New(node.Config{Name: p.Name, Generation: disk.id.Generation, Incarnation: randomUint64() | 1, Seed: randomUint64(), Member: disk.member,
				Voters: p.Voters, Roster: p.Roster(), Lease: p.Lease, MaxClockDrift: p.Drift, ServeWhenPartitioned: p.ServeWhenPartitioned, GuaranteedShare: p.GuaranteedShare, Zone: zone}, emptyImage(), f.now())
		}
		if err != nil {
			_ = f.conn.Close()
			return nil, err
		}
	}
	f.self = f.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
	go f.read()
	go f.run()
	log.Info("joined fleet", "fleet", p.Fleet, "relay", p.Name, "generation", disk.id.Generation, "peers", f.conn.LocalAddr().String())
	return f, nil
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:])
}

// now is the node's clock: monotonic, from the process's start.
func (f *Fleet) now() time.Duration {
	return time.Duration(float64(time.Since(f.startedAt))*clockRate) + time.Millisecond
}

// Close leaves the fleet; the lease expires by itself.
func (f *Fleet) Close() {
	close(f.ended)
	_ = f.conn.Close()
	<-f.done
}

func (f *Fleet) read() {
	for {
		b := f.buffers.Get().(*[]byte)
		n, from, err := f.conn.ReadFromUDPAddrPort(*b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.buffers.Put(b)
			continue // a peer's port that nobody listens at
		}
		select {
		case f.packets <- packet{b, n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}:
		default: // it can't keep up: lost, as on any link
			f.buffers.Put(b)
		}
	}
}

// post hands an event from another goroutine to the node's.
func (f *Fleet) post(ev node.Event) {
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
			if f.now() >= f.nextObserveAt {
				f.nextObserveAt = f.now() + f.config.Lease/observationsPerLease
				f.observeCore()
			}
			next = min(next, f.nextObserveAt-f.now())
		}
		timer.Reset(max(next, 0))
		events = events[:0]
		select {
		case <-f.ended:
			return
		case ev := <-f.events:
			events = append(events, ev)
		case p := <-f.packets:
			events = f.receive(p, events)
		case <-timer.C:
		}
		for more := true; more && len(events) < maxPackets; {
			select {
			case ev := <-f.events:
				events = append(events, ev)
			case p := <-f.packets:
				events = f.receive(p, events)
			default:
				more = false
			}
		}
		// What an action brings about at once is taken in with the next step, which comes without delay.
		for failed := f.execute(f.node.Step(f.now(), events)); failed != nil; {
			failed = f.execute(f.node.Step(f.now(), []node.Event{{SaveFailed: failed}}))
		}
	}
}

// receive decodes a datagram and appends its event. One that is no message of a peer's current incarnation is counted and dropped.
func (f *Fleet) receive(p packet, events []node.Event) []node.Event {
	fr, kind, err := unpack((*p.buffer)[:p.size])
	f.buffers.Put(p.buffer)
	switch {
	case err != nil:
	case fr.Fleet != f.config.Fleet:
		err = errFleet
	case kind == kindAsk && fr.AdminRequest != nil && (p.from.Addr().IsLoopback() || p.from.Addr() == f.self):
		if len(f.adminClients) >= maxAdminClients {
			clear(f.adminClients)
		}
		f.lastRequest++
		f.adminClients[f.lastRequest] = adminClient{p.from, fr.AdminRequest.Number}
		fr.AdminRequest.Number = f.lastRequest
		return append(events, node.Event{AdminRequest: fr.AdminRequest})
	case kind != kindPeer || fr.Message == nil || f.addresses[fr.From] != p.from:
		err = errUnknownPeer
	case fr.To != f.config.Name:
		err = errOtherRelay
	case fr.Generation < f.generations[fr.From] && fr.Message.LeaseRequest == nil: // by lease requests the leader tells two relays of one name apart
		err = errFormerIncarnation
	}
	if err != nil {
		if f.droppedFrames[err.Error()]++; errors.Is(err, errUnknownPeer) && f.droppedFrames[err.Error()] == 1 {
			f.log.Warn("rejected message from unknown peer", "peer", fr.From, "address", p.from, "suppressed", "later ones")
		}
		return events
	}
	f.generations[fr.From] = max(f.generations[fr.From], fr.Generation)
	return append(events, node.Event{From: fr.From, Message: fr.Message})
}

// execute carries out a Step's actions in their order, up to a save that fails, whose error it returns.
func (f *Fleet) execute(actions []node.Action) error {
	for i := range actions {
		a := &actions[i]
		switch {
		case a.Save != nil:
			if err := f.disk.save(a.Save, a.Member); err != nil {
				f.log.Error("saving consensus log failed", "err", err)
				return err
			}
		case a.Generation != 0:
			f.disk.id.Generation = a.Generation
			if err := f.disk.saveIdentity(); err != nil {
				f.log.Error("saving generation failed", "err", err)
				return err
			}
		case a.Message != nil:
			f.send(f.addresses[a.To], kindPeer, &frame{Fleet: f.config.Fleet, From: f.config.Name, To: a.To, Generation: f.disk.id.Generation, Message: a.Message})
		case a.Check != nil:
			ch := a.Check
			go func() {
				v := &node.Verdict{Version: ch.Version}
				if err := f.rules.Check(ch.Doc); err != nil {
					v.Reason = err.Error()
				}
				f.post(node.Event{Verdict: v})
			}()
		case a.Mandate != nil:
			f.setMandate(*a.Mandate)
		case a.Lease != nil:
			f.setLease(a.Lease)
		case a.Answer != nil:
			if q, ok := f.adminClients[a.RequestNumber]; ok {
				delete(f.adminClients, a.RequestNumber)
				a.Answer.Quota = f.quotaStatus()
				for i := range a.Answer.Shared {
					a.Answer.Shared[i].Name = f.nameOf(f.observedKeys.Load(), a.Answer.Shared[i].Key)
				}
				a.Answer.Counts = maps.Clone(f.droppedFrames)
				f.send(q.at, kindAnswer, &frame{Fleet: f.config.Fleet, Answer: a.Answer, RequestNumber: q.no})
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
	b, err := fr.pack(f.sendBuffer[:0], kind)
	if err != nil {
		f.log.Error("encoding message to peer failed", "err", err)
		return
	}
	f.sendBuffer = b
	_, _ = f.conn.WriteToUDPAddrPort(b, to) // lost, as on any link
}
