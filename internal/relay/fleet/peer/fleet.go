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

// Fleet runs this relay's node.Node. The goroutine of run owns all fields except the channels, buffers and observedKeys. Times are on the
// node's clock, see now.
type Fleet struct {
	config       *config.Peers
	rules        *Rules
	log          *slog.Logger
	conn         *net.UDPConn
	disk         *disk
	node         *node.Node
	startedAt    time.Time
	self         netip.Addr // address of this relay's socket
	applyMandate func(node.Mandate, Times, func())
	core         Core // nil: no limits are shared

	addresses   map[string]netip.AddrPort // of the peers, by name
	generations map[string]uint64         // newest generation that each peer has sent, by name
	events      chan node.Event           // from the core's callbacks and checks of policies
	packets     chan packet               // from read
	buffers     sync.Pool                 // of *[]byte for a datagram
	closing     chan struct{}             // closed by Close
	done        chan struct{}             // closed when run has returned

	adminClients  map[uint64]adminClient // by the number of their request at the node
	lastRequest   uint64
	droppedFrames map[string]int // dropped frames, by error text
	sendBuffer    []byte         // reused by send

	observedKeys  atomic.Pointer[map[quota.Key]observedKey] // stored by the core's goroutine; a stored map does not change
	lease         *quota.Lease                              // the newest quota lease; nil: none yet
	leaseAt       time.Duration                             // when lease was received
	halted        bool                                      // whether the core was last told to halt
	nextObserveAt time.Duration
}

// packet is a received datagram.
type packet struct {
	buffer *[]byte // returned to Fleet.buffers after decoding
	size   int     // of the datagram in buffer, in bytes
	from   netip.AddrPort
}

// adminClient is an operator's client that waits for an answer.
type adminClient struct {
	address netip.AddrPort
	number  uint64 // of the request at the client
}

// Times converts times on the node's clock to those of the process.
type Times struct {
	startedAt time.Time
}

// At converts a time on the node's clock; 0 becomes the zero time.
func (t Times) At(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return t.startedAt.Add(time.Duration(float64(d) / clockRate))
}

const (
	maxQueued       = 256 // length of the queues of packets and events, and maximum number of events in a Step
	maxAdminClients = 64  // maximum number of waiting clients; one more clears them all
)

// Open joins the relay to its fleet, as a new member if its folder is damaged or belongs to another fleet. The Fleet's goroutine calls
// applyMandate with each new mandate. That function must not block, and must call its callback, from any goroutine, once the core has
// applied the mandate. core is used only if limits are shared (GuaranteedShare above 0).
//
// Open returns a config.KeyError for an address that can't be parsed, and other errors for the socket, the folder and the node. Close ends
// the goroutines that Open starts.
func Open(cfg *config.Config, rules *Rules, log *slog.Logger, core Core, applyMandate func(node.Mandate, Times, func())) (*Fleet, error) {
	peers := cfg.Peers
	f := &Fleet{config: peers, rules: rules, log: log, applyMandate: applyMandate, addresses: map[string]netip.AddrPort{},
		generations: map[string]uint64{}, events: make(chan node.Event, maxQueued), packets: make(chan packet, maxQueued),
		closing: make(chan struct{}), done: make(chan struct{}), adminClients: map[uint64]adminClient{}, droppedFrames: map[string]int{},
		startedAt: time.Now()}
	if peers.GuaranteedShare > 0 {
		f.core = core
	}
	f.buffers.New = func() any { b := make([]byte, maxFrameBytes+1); return &b }
	if err := f.listen(); err != nil {
		return nil, err
	}
	if err := f.openNode(max(0, cfg.Settings.Zone)); err != nil {
		_ = f.conn.Close()
		return nil, err
	}
	f.self = f.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
	go f.read()
	go f.run()
	log.Info("joined fleet", "fleet", peers.Fleet, "relay", peers.Name, "generation", f.disk.id.Generation, "peers", f.conn.LocalAddr().String())
	return f, nil
}

// listen parses the peers' addresses and opens this relay's socket.
func (f *Fleet) listen() error {
	address, err := net.ResolveUDPAddr("udp4", f.config.Listen)
	if err != nil {
		return config.NewKeyError("peers.listen", err.Error())
	}
	for name, text := range f.config.Addresses {
		if f.addresses[name], err = netip.ParseAddrPort(text); err != nil {
			return config.NewKeyError("peers.others."+name, err.Error())
		}
	}
	if f.conn, err = net.ListenUDP("udp4", address); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

// openNode creates the node from the relay's folder. If the folder is damaged or inconsistent, the node is a new member with an empty log.
func (f *Fleet) openNode(zone int) error {
	disk, image, damage, err := openDisk(f.config.State, f.config.Fleet, randomUint64)
	if err != nil {
		return err
	}
	f.disk = disk
	if damage != nil {
		f.log.Error("rejoining fleet as new member", "err", damage)
	}
	f.node, err = node.New(f.nodeConfig(zone), image, f.now())
	if err == nil {
		return nil
	}
	f.log.Error("rejoining fleet as new member", "err", err) // the records are intact but inconsistent
	disk.member = randomUint64() | 1
	if err = disk.rewrite(emptyImage()); err != nil {
		return err
	}
	f.node, err = node.New(f.nodeConfig(zone), emptyImage(), f.now())
	return err
}

// nodeConfig returns the configuration of the node as the member on disk, with a new incarnation and seed.
func (f *Fleet) nodeConfig(zone int) node.Config {
	peers := f.config
	return node.Config{Name: peers.Name, Generation: f.disk.id.Generation, Incarnation: randomUint64() | 1, Seed: randomUint64(),
		Member: f.disk.member, Voters: peers.Voters, Roster: peers.Roster(), Lease: peers.Lease, MaxClockDrift: peers.Drift,
		ServeWhenPartitioned: peers.ServeWhenPartitioned, GuaranteedShare: peers.GuaranteedShare, Zone: zone}
}

// randomUint64 returns a random number from the operating system.
func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:])
}

// now returns the time on the node's clock, which is monotonic, starts with Open and is never 0.
func (f *Fleet) now() time.Duration {
	return time.Duration(float64(time.Since(f.startedAt))*clockRate) + time.Millisecond
}

// Close stops the node and waits until run has returned; the lease expires by itself. It must be called once.
func (f *Fleet) Close() {
	close(f.closing)
	_ = f.conn.Close()
	<-f.done
}

// read receives datagrams and queues them for run, until the socket is closed. It is a goroutine of its own.
func (f *Fleet) read() {
	for {
		b := f.buffers.Get().(*[]byte)
		n, from, err := f.conn.ReadFromUDPAddrPort(*b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.buffers.Put(b)
			continue // such as connection refused, if a peer does not listen
		}
		select {
		case f.packets <- packet{b, n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}:
		default: // run can't keep up: the datagram is lost, as on any link
			f.buffers.Put(b)
		}
	}
}

// post queues an event from another goroutine for run. It blocks while the queue is full, until Close.
func (f *Fleet) post(ev node.Event) {
	select {
	case f.events <- ev:
	case <-f.closing:
	}
}

// run drives the node until Close: it passes datagrams, events and timer expiries to the node and executes the resulting actions. It is a
// goroutine of its own.
func (f *Fleet) run() {
	defer close(f.done)
	timer := time.NewTimer(0)
	var events []node.Event
	for {
		timer.Reset(max(f.idleFor(), 0))
		events = events[:0]
		select {
		case <-f.closing:
			return
		case ev := <-f.events:
			events = append(events, ev)
		case p := <-f.packets:
			events = f.receive(p, events)
		case <-timer.C:
		}
		events = f.drainQueues(events)
		// Events that an action posts at once are handled in the next step, which follows without delay.
		for failed := f.execute(f.node.Step(f.now(), events)); failed != nil; {
			failed = f.execute(f.node.Step(f.now(), []node.Event{{SaveFailed: failed}}))
		}
	}
}

// idleFor observes the core if that is due. It returns the time until the next timer is due, which may be negative.
func (f *Fleet) idleFor() time.Duration {
	next := f.node.Next(f.now())
	if f.core == nil {
		return next
	}
	if f.now() >= f.nextObserveAt {
		f.nextObserveAt = f.now() + f.config.Lease/observationsPerLease
		f.observeCore()
	}
	return min(next, f.nextObserveAt-f.now())
}

// drainQueues appends the queued events, up to maxQueued in all.
func (f *Fleet) drainQueues(events []node.Event) []node.Event {
	for len(events) < maxQueued {
		select {
		case ev := <-f.events:
			events = append(events, ev)
		case p := <-f.packets:
			events = f.receive(p, events)
		default:
			return events
		}
	}
	return events
}

// receive decodes a datagram and appends its event. It counts and drops a datagram that is neither an operator's request from this machine
// nor a message from a peer's newest incarnation.
func (f *Fleet) receive(p packet, events []node.Event) []node.Event {
	received, kind, err := unpack((*p.buffer)[:p.size])
	f.buffers.Put(p.buffer)
	switch {
	case err != nil:
	case received.Fleet != f.config.Fleet:
		err = errFleet
	case kind == kindAdminRequest && received.AdminRequest != nil && (p.from.Addr().IsLoopback() || p.from.Addr() == f.self):
		if len(f.adminClients) >= maxAdminClients {
			clear(f.adminClients)
		}
		f.lastRequest++
		f.adminClients[f.lastRequest] = adminClient{p.from, received.AdminRequest.Number}
		received.AdminRequest.Number = f.lastRequest
		return append(events, node.Event{AdminRequest: received.AdminRequest})
	case kind != kindPeer || received.Message == nil || f.addresses[received.From] != p.from:
		err = errUnknownPeer
	case received.To != f.config.Name:
		err = errOtherRelay
	case received.Generation < f.generations[received.From] &&
		received.Message.LeaseRequest == nil: // the leader needs these to detect two relays with the same name
		err = errFormerIncarnation
	}
	if err != nil {
		if f.droppedFrames[err.Error()]++; errors.Is(err, errUnknownPeer) && f.droppedFrames[err.Error()] == 1 {
			f.log.Warn("rejected message from unknown peer", "peer", received.From, "address", p.from, "suppressed", "later ones")
		}
		return events
	}
	f.generations[received.From] = max(f.generations[received.From], received.Generation)
	return append(events, node.Event{From: received.From, Message: received.Message})
}

// execute executes a Step's actions in order. It stops at a save that fails and returns its error.
func (f *Fleet) execute(actions []node.Action) error {
	for i := range actions {
		action := &actions[i]
		switch {
		case action.Save != nil:
			if err := f.disk.save(action.Save, action.Member); err != nil {
				f.log.Error("saving consensus log failed", "err", err)
				return err
			}
		case action.Generation != 0:
			f.disk.id.Generation = action.Generation
			if err := f.disk.saveIdentity(); err != nil {
				f.log.Error("saving generation failed", "err", err)
				return err
			}
		case action.Message != nil:
			f.send(f.addresses[action.To], kindPeer, &frame{Fleet: f.config.Fleet, From: f.config.Name, To: action.To,
				Generation: f.disk.id.Generation, Message: action.Message})
		case action.Check != nil:
			go f.check(action.Check.Version, action.Check.Doc)
		case action.Mandate != nil:
			f.setMandate(*action.Mandate)
		case action.Lease != nil:
			f.setLease(action.Lease)
		case action.Answer != nil:
			f.answerAdmin(action.RequestNumber, action.Answer)
		case action.Log != "":
			f.log.Info(action.Log, action.Fields...)
		}
	}
	return nil
}

// check checks a policy's document and posts the verdict. It is a goroutine of its own, since it may load plug-ins.
func (f *Fleet) check(version uint64, doc []byte) {
	verdict := &node.Verdict{Version: version}
	if err := f.rules.Check(doc); err != nil {
		verdict.Reason = err.Error()
	}
	f.post(node.Event{Verdict: verdict})
}

// answerAdmin completes a status with what the node does not know, and sends it to the client that waits for it.
func (f *Fleet) answerAdmin(request uint64, status *node.Status) {
	client, ok := f.adminClients[request]
	if !ok {
		return
	}
	delete(f.adminClients, request)
	status.Quota = f.quotaStatus()
	for i := range status.Shared {
		status.Shared[i].Name = f.nameOf(f.observedKeys.Load(), status.Shared[i].Key)
	}
	status.Counts = maps.Clone(f.droppedFrames)
	f.send(client.address, kindAnswer, &frame{Fleet: f.config.Fleet, Answer: status, RequestNumber: client.number})
}

// send sends a frame to an address. A frame for a peer without an address is dropped.
func (f *Fleet) send(to netip.AddrPort, kind byte, message *frame) {
	if !to.IsValid() {
		return
	}
	b, err := message.pack(f.sendBuffer[:0], kind)
	if err != nil {
		f.log.Error("encoding message to peer failed", "err", err)
		return
	}
	f.sendBuffer = b
	_, _ = f.conn.WriteToUDPAddrPort(b, to) // an error is like a loss on the link
}
