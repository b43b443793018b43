package vrrp

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/relay/config"
)

// Counters holds numbers of packets since the start.
type Counters struct {
	Accepted, Sent atomic.Uint64
	// Dropped packets: those that Decode rejects, with wrong checksums counted separately; of another virtual router; from an address that
	// is not a peer's; and from this router itself.
	Malformed, Checksum, OtherRouter, UnknownPeer, Own atomic.Uint64
}

// Instance runs a Machine over UDP. Its methods may be called from any goroutine.
type Instance struct {
	Counts Counters

	mu           sync.Mutex // guards machine, and keeps its packets in order
	machine      *Machine
	conn         *net.UDPConn
	address      netip.Addr // of this machine
	vrid         uint8
	peers        map[netip.Addr]netip.AddrPort // the address to send to, by the peer's IP address; never changed
	log          *slog.Logger
	active       atomic.Bool    // the machine's state is Active
	timerChanged chan struct{}  // the machine's timer may have changed
	stop         chan struct{}  // closed by Shutdown
	once         sync.Once      // of Shutdown
	done         sync.WaitGroup // of the two goroutines
}

// Listen starts a router on its UDP address. Its error is a *policy.KeyError for an invalid address, or the socket's error. Shutdown ends
// the router.
func Listen(cfg *config.VRRP, log *slog.Logger) (*Instance, error) {
	listen, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, config.NewKeyError("vrrp.listen", err.Error())
	}
	router, err := newRouter(cfg)
	if err != nil {
		return nil, err
	}
	in := &Instance{machine: NewMachine(router), address: router.Address, vrid: router.VRID, peers: map[netip.Addr]netip.AddrPort{},
		log: log, timerChanged: make(chan struct{}, 1), stop: make(chan struct{})}
	for _, text := range cfg.Peers {
		peer, parseErr := netip.ParseAddrPort(text)
		if parseErr != nil {
			return nil, config.NewKeyError("vrrp.peers", parseErr.Error())
		}
		in.peers[peer.Addr().Unmap()] = peer
	}
	if in.conn, err = net.ListenUDP("udp", listen); err != nil {
		return nil, err
	}
	in.step(func(now time.Time) []Packet { return in.machine.Startup(now) })
	in.done.Add(2)
	go in.read()
	go in.runTimer()
	return in, nil
}

// newRouter converts the configuration. All addresses must be of the same address family.
func newRouter(cfg *config.VRRP) (Router, error) {
	address, _ := netip.AddrFromSlice(cfg.Address)
	router := Router{VRID: cfg.VRID, Priority: cfg.Priority, Advertise: cfg.Advertise, Preempt: cfg.Preempt, Address: address.Unmap()}
	for _, ip := range cfg.Virtual {
		virtual, _ := netip.AddrFromSlice(ip)
		if virtual = virtual.Unmap(); virtual.Is4() != router.Address.Is4() {
			return Router{}, config.NewKeyError("vrrp.virtual", "want addresses of the same family as vrrp.address")
		}
		router.Virtual = append(router.Virtual, virtual)
	}
	return router, nil
}

// Active reports whether this router is responsible for the virtual addresses.
func (in *Instance) Active() bool { return in.active.Load() }

// Shutdown stops the state machine, which tells the peers, and waits for the goroutines to end. It may be called more than once.
func (in *Instance) Shutdown() {
	in.once.Do(func() {
		in.step(func(time.Time) []Packet { return in.machine.Shutdown() })
		close(in.stop)
		_ = in.conn.Close()
		in.done.Wait()
		c := &in.Counts
		in.log.Info("virtual router stopped", "vrid", in.vrid, "sent", c.Sent.Load(), "accepted", c.Accepted.Load(),
			"malformed", c.Malformed.Load(), "checksum", c.Checksum.Load(), "other_router", c.OtherRouter.Load(),
			"unknown_peer", c.UnknownPeer.Load(), "own", c.Own.Load())
	})
}

// step calls do, which calls a method of the machine. Then it logs a change of state and sends the returned packets to all peers.
func (in *Instance) step(do func(now time.Time) []Packet) {
	in.mu.Lock()
	defer in.mu.Unlock()
	before := in.machine.State()
	packets := do(time.Now())
	if after := in.machine.State(); after != before {
		in.log.Info("virtual router changed state", "vrid", in.vrid, "from", before.String(), "to", after.String())
		in.active.Store(after == Active)
	}
	for i := range packets {
		for peer, address := range in.peers {
			if _, err := in.conn.WriteToUDPAddrPort(packets[i].Encode(in.address, peer), address); err == nil {
				in.Counts.Sent.Add(1)
			}
		}
	}
	select {
	case in.timerChanged <- struct{}{}:
	default:
	}
}

// maxPacketBytes is the size of the buffer for packets: enough for 255 IPv6 addresses, the most that a packet can hold.
const maxPacketBytes = 4096

// read receives packets until the socket is closed. It runs on its own goroutine.
func (in *Instance) read() {
	defer in.done.Done()
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := in.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		in.receive(buf[:n], from.Addr().Unmap())
	}
}

// receive counts a packet, and passes it to the machine if it is valid, from a peer and for this virtual router.
func (in *Instance) receive(b []byte, from netip.Addr) {
	p, err := Decode(b, from, in.address)
	switch _, known := in.peers[from]; {
	case from == in.address:
		in.Counts.Own.Add(1)
	case !known:
		in.Counts.UnknownPeer.Add(1)
	case errors.Is(err, ErrChecksum):
		in.Counts.Checksum.Add(1)
	case err != nil:
		in.Counts.Malformed.Add(1)
	case p.VRID != in.vrid:
		in.Counts.OtherRouter.Add(1)
	default:
		in.Counts.Accepted.Add(1)
		in.step(func(now time.Time) []Packet { return in.machine.Receive(now, p, from) })
	}
}

// runTimer calls the machine's Tick when it is due, until Shutdown. It runs on its own goroutine.
func (in *Instance) runTimer() {
	defer in.done.Done()
	for {
		in.mu.Lock()
		due := in.machine.Due()
		in.mu.Unlock()
		var fire <-chan time.Time
		if !due.IsZero() {
			fire = time.After(time.Until(due))
		}
		select {
		case <-in.stop:
			return
		case <-in.timerChanged:
		case <-fire:
			in.step(func(now time.Time) []Packet { return in.machine.Tick(now) })
		}
	}
}
