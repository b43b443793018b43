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

// Fleet is this relay's member of its fleet while the process runs. The goroutine of run owns all of it but the channels, the buffers and
// observedKeys; times are on the node's clock, see now.
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
	core         Core // nil: no limits are shared

	addresses   map[string]netip.AddrPort // of peers, by name
	generations map[string]uint64         // the newest that was heard of each
	events      chan node.Event           // from the core's callbacks and from checks of policies
	packets     chan packet               // from read
	buffers     sync.Pool                 // of *[]byte that hold a datagram
	ended       chan struct{}             // closed by Close
	done        chan struct{}             // closed when run has returned

	adminClients  map[uint64]adminClient // by the number that their request has here
	lastRequest   uint64
	droppedFrames map[string]int // by error text
	sendBuffer    []byte         // reused by send

	observedKeys  atomic.Pointer[map[quota.Key]observedKey] // stored by the core's goroutine; the map is never changed
	lease         *quota.Lease                              // the newest; nil: none yet
	leaseAt       time.Duration                             // when it came
	halted        bool                                      // as the core was notified last
	nextObserveAt time.Duration
}

// packet is a datagram that was received.
type packet struct {
	buffer *[]byte // goes back to Fleet.buffers once it is decoded
	size   int     // bytes of the datagram in buffer
	from   netip.AddrPort
}

// adminClient is who waits for the answer to a request.
type adminClient struct {
	address netip.AddrPort
	number  uint64 // that the client gave its request
}

// Times converts the node's clock to the process's.
type Times struct {
	startedAt time.Time
}

// At returns a time on the node's clock as the process's; 0 is the zero time.
func (t Times) At(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return t.startedAt.Add(time.Duration(float64(d) / clockRate))
}

const (
	maxPackets      = 256 // queue length of packets, and of events; also the maximum a Step takes
	maxAdminClients = 64  // requests that wait for an answer; when one more comes, all that wait are forgotten
)

// Open joins the relay to its fleet, as a new member where its folder is damaged or of another fleet. applyMandate is called by the Fleet's
// goroutine with each new mandate, must not block, and calls its callback once the core acts by it, from any goroutine. core is used only
// where limits are shared (GuaranteedShare above 0).
//
// It returns a config.KeyError for an address that can't be parsed, and other errors for the socket, the folder and the node's configuration.
// Close ends the goroutines that it starts.
func Open(cfg *config.Config, rules *Rules, log *slog.Logger, core Core, applyMandate func(node.Mandate, Times, func())) (*Fleet, error) {
	peers := cfg.Peers
	f := &Fleet{config: peers, rules: rules, log: log, applyMandate: applyMandate, addresses: map[string]netip.AddrPort{},
		generations: map[string]uint64{}, events: make(chan node.Event, maxPackets), packets: make(chan packet, maxPackets),
		ended: make(chan struct{}), done: make(chan struct{}), adminClients: map[uint64]adminClient{}, droppedFrames: map[string]int{},
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
		return fmt.Errorf("the fleet: %w", err)
	}
	return nil
}

// openNode makes the node from the relay's folder. Where that can't be trusted the node is a new member, with an empty log.
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
	f.log.Error("rejoining fleet as new member", "err", err) // the records are intact but contradict each other
	disk.member = randomUint64() | 1
	if err = disk.rewrite(emptyImage()); err != nil {
		return err
	}
	f.node, err = node.New(f.nodeConfig(zone), emptyImage(), f.now())
	return err
}

// nodeConfig is the node's configuration as the member that the disk names, with a new incarnation and seed.
func (f *Fleet) nodeConfig(zone int) node.Config {
	peers := f.config
	return node.Config{Name: peers.Name, Generation: f.disk.id.Generation, Incarnation: randomUint64() | 1, Seed: randomUint64(),
		Member: f.disk.member, Voters: peers.Voters, Roster: peers.Roster(), Lease: peers.Lease, MaxClockDrift: peers.Drift,
		ServeWhenPartitioned: peers.ServeWhenPartitioned, GuaranteedShare: peers.GuaranteedShare, Zone: zone}
}

// randomUint64 returns a random number of the system's.
func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:])
}

// now is the node's clock: monotonic, from Open on, and never 0.
func (f *Fleet) now() time.Duration {
	return time.Duration(float64(time.Since(f.startedAt))*clockRate) + time.Millisecond
}

// Close ends the member and waits until its goroutine has returned; the lease expires by itself. It must be called once.
func (f *Fleet) Close() {
	close(f.ended)
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
			continue // nobody listens on a peer's port
		}
		select {
		case f.packets <- packet{b, n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}:
		default: // run can't keep up: lost, as on any link
			f.buffers.Put(b)
		}
	}
}

// post queues an event from another goroutine for run. It blocks while the queue is full, until Close.
func (f *Fleet) post(ev node.Event) {
	select {
	case f.events <- ev:
	case <-f.ended:
	}
}

// run owns the node until Close: it takes what has come, and the node's timer, and carries out what the node answers. It is a goroutine of its
// own.
func (f *Fleet) run() {
	defer close(f.done)
	timer := time.NewTimer(0)
	var events []node.Event
	for {
		timer.Reset(max(f.idleFor(), 0))
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
		events = f.drainQueues(events)
		// Events that the actions cause at once are part of the next step, which follows without delay.
		for failed := f.execute(f.node.Step(f.now(), events)); failed != nil; {
			failed = f.execute(f.node.Step(f.now(), []node.Event{{SaveFailed: failed}}))
		}
	}
}

// idleFor observes the core if that is due, and returns how long nothing is due unless something comes; it may be negative.
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

// drainQueues appends the events that are queued, up to maxPackets in all.
func (f *Fleet) drainQueues(events []node.Event) []node.Event {
	for len(events) < maxPackets {
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

// receive decodes a datagram and appends its event. One that is no message of a peer's current incarnation is counted and dropped.
func (f *Fleet) receive(p packet, events []node.Event) []node.Event {
	received, kind, err := unpack((*p.buffer)[:p.size])
	f.buffers.Put(p.buffer)
	switch {
	case err != nil:
	case received.Fleet != f.config.Fleet:
		err = errFleet
	case kind == kindAsk && received.AdminRequest != nil && (p.from.Addr().IsLoopback() || p.from.Addr() == f.self):
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
		received.Message.LeaseRequest == nil: // by its lease requests the leader detects two relays of one name
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

// execute carries out a Step's actions in their order, up to a save that fails, whose error it returns.
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

// check checks a policy's document and posts the verdict. It is a goroutine of its own, since plug-ins may be loaded for it.
func (f *Fleet) check(version uint64, doc []byte) {
	verdict := &node.Verdict{Version: version}
	if err := f.rules.Check(doc); err != nil {
		verdict.Reason = err.Error()
	}
	f.post(node.Event{Verdict: verdict})
}

// answerAdmin adds what the node does not know to a status and sends it to whoever asked.
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

// send sends a frame to an address; a peer without one is passed over.
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
	_, _ = f.conn.WriteToUDPAddrPort(b, to) // lost, as on any link
}
