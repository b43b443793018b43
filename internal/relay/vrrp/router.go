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

// Counters are the packets taken and dropped since the start.
type Counters struct {
	Accepted, Sent                                     atomic.Uint64
	Malformed, Checksum, OtherRouter, UnknownPeer, Own atomic.Uint64 // dropped
}

// Instance runs a machine over UDP.
type Instance struct {
	Counts Counters

	mu           sync.Mutex
	machine      *Machine
	conn         *net.UDPConn
	address      netip.Addr
	vrid         uint8
	peers        map[netip.Addr]netip.AddrPort
	log          *slog.Logger
	active       atomic.Bool
	timerChanged chan struct{} // the timer has to be looked at again
	stop         chan struct{}
	once         sync.Once
	done         sync.WaitGroup
}

// Listen starts a router on its UDP address.
func Listen(cfg *config.VRRP, log *slog.Logger) (*Instance, error) {
	at, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, config.NewKeyError("vrrp.listen", err.Error())
	}
	own, _ := netip.AddrFromSlice(cfg.Address)
	r := Router{VRID: cfg.VRID, Priority: cfg.Priority, Advertise: cfg.Advertise, Preempt: cfg.Preempt, Address: own.Unmap()}
	for _, ip := range cfg.Virtual {
		a, _ := netip.AddrFromSlice(ip)
		if a = a.Unmap(); a.Is4() != r.Address.Is4() {
			return nil, config.NewKeyError("vrrp.virtual", "not of the family of vrrp.address")
		}
		r.Virtual = append(r.Virtual, a)
	}
	in := &Instance{machine: NewMachine(r), address: r.Address, vrid: r.VRID, peers: map[netip.Addr]netip.AddrPort{},
		log: log, timerChanged: make(chan struct{}, 1), stop: make(chan struct{})}
	for _, p := range cfg.Peers {
		ap, parseErr := netip.ParseAddrPort(p)
		if parseErr != nil {
			return nil, config.NewKeyError("vrrp.peers", parseErr.Error())
		}
		in.peers[ap.Addr().Unmap()] = ap
	}
	if in.conn, err = net.ListenUDP("udp", at); err != nil {
		return nil, err
	}
	in.step(func(now time.Time) []Packet { return in.machine.Startup(now) })
	in.done.Add(2)
	go in.read()
	go in.runTimer()
	return in, nil
}

// Active tells whether this router stands for the virtual addresses.
func (in *Instance) Active() bool { return in.active.Load() }

// Shutdown gives up this router's part and stops it; once is enough.
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

// step lets the machine do something, and sends what it says.
func (in *Instance) step(do func(now time.Time) []Packet) {
	in.mu.Lock()
	defer in.mu.Unlock()
	was := in.machine.State()
	out := do(time.Now())
	if now := in.machine.State(); now != was {
		in.log.Info("virtual router changed state", "vrid", in.vrid, "from", was.String(), "to", now.String())
		in.active.Store(now == Active)
	}
	for i := range out {
		for to, ap := range in.peers {
			if _, err := in.conn.WriteToUDPAddrPort(out[i].Encode(in.address, to), ap); err == nil {
				in.Counts.Sent.Add(1)
			}
		}
	}
	select {
	case in.timerChanged <- struct{}{}:
	default:
	}
}

func (in *Instance) read() {
	defer in.done.Done()
	buf := make([]byte, 4096)
	for {
		n, ap, err := in.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			continue
		}
		in.receive(buf[:n], ap.Addr().Unmap())
	}
}

// receive drops and counts what is not for this router; the machine gets the rest.
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
