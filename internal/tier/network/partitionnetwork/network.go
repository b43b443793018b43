// Package partitionnetwork is the system's network with cuts, for soaks of real processes on loopback addresses. The kernel drops what
// comes from an address that is cut off, by a filter on each socket: connections stay those of the system, with its resends and
// time-outs. A process hears of cuts by a file. Nothing that goes into service imports it.
package partitionnetwork

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mastusher/internal/tier/network"
)

// lookPace is the pace at which the file is read.
const lookPace = 20 * time.Millisecond

// Network opens sockets of one machine.
type Network struct {
	address netip.Addr
	path    string

	mutex   sync.Mutex
	text    string // of the file, as it was read last
	filter  []unix.SockFilter
	sockets map[syscall.RawConn]struct{}
}

// New returns the network of the machine with an IPv4 address. The file holds the addresses from which nothing is let in,
// parted by white space.
func New(address, path string) (*Network, error) {
	parsed, err := netip.ParseAddr(address)
	if err != nil {
		return nil, err
	}
	none, err := dropping(nil)
	if err != nil {
		return nil, err
	}
	n := &Network{address: parsed, path: path, filter: none, sockets: map[syscall.RawConn]struct{}{}}
	return n, n.look()
}

// Follow takes notice of changes of the file until ctx ends.
func (n *Network) Follow(ctx context.Context) {
	ticker := time.NewTicker(lookPace)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = n.look() // a file that is being replaced is read at the next turn
		}
	}
}

// look reads the file, and has all sockets follow it if it has changed.
func (n *Network) look() error {
	content, err := os.ReadFile(n.path)
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if string(content) == n.text {
		return nil
	}
	filter, err := dropping(strings.Fields(string(content)))
	if err != nil {
		return err
	}
	n.text, n.filter = string(content), filter
	for socket := range n.sockets {
		if err := attach(socket, filter); err != nil {
			delete(n.sockets, socket) // it has been closed
		}
	}
	return nil
}

// keep has a socket follow the file from now on.
func (n *Network) keep(connection syscall.Conn) error {
	raw, err := connection.SyscallConn()
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sockets[raw] = struct{}{}
	if err := attach(raw, n.filter); err != nil {
		delete(n.sockets, raw)
		return err
	}
	return nil
}

// Listen implements network.Network.
func (n *Network) Listen(ctx context.Context, config *net.ListenConfig, kind, address string) (net.Listener, error) {
	plain := *config
	plain.SetMultipathTCP(false) // whose sockets take no filter
	opened, err := plain.Listen(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	if err := n.keep(opened.(*net.TCPListener)); err != nil {
		return nil, errors.Join(err, opened.Close())
	}
	return &listener{TCPListener: opened.(*net.TCPListener), network: n}, nil
}

// listener has the connections that it takes follow the file.
type listener struct {
	*net.TCPListener
	network *Network
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	_ = l.network.keep(accepted) // one that has ended already needs no filter
	return accepted, nil
}

// ListenPacket implements network.Network.
func (n *Network) ListenPacket(address *net.UDPAddr) (network.PacketConn, error) {
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	if err := n.keep(socket); err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	return socket, nil
}

// Dial implements network.Network. The connection comes from the machine's own address, by which the other side knows it.
func (n *Network) Dial(ctx context.Context, dialer *net.Dialer, kind, address string) (net.Conn, error) {
	own := *dialer
	own.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(n.address, 0))
	own.Control = func(kind, address string, raw syscall.RawConn) error {
		n.mutex.Lock()
		filter := n.filter
		n.mutex.Unlock()
		if err := attach(raw, filter); err != nil {
			return err
		}
		if dialer.Control != nil {
			return dialer.Control(kind, address, raw)
		}
		return nil
	}
	dialled, err := own.DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	if err := n.keep(dialled.(*net.TCPConn)); err != nil {
		return nil, errors.Join(err, dialled.Close())
	}
	return dialled, nil
}

// attach has a socket take a filter in place of the one before.
func attach(socket syscall.RawConn, filter []unix.SockFilter) error {
	var failed error
	err := socket.Control(func(descriptor uintptr) {
		program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
		failed = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	return errors.Join(err, failed)
}

// Parts of a filter.
const (
	networkHeader = -0x100000 // where a filter finds the header of the network layer
	sourceOffset  = 12        // of the source in an IPv4 header
	letIn         = 0xffffffff
)

// dropping returns a filter that lets nothing in from some addresses.
func dropping(addresses []string) ([]unix.SockFilter, error) {
	at := int32(networkHeader + sourceOffset)
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: uint32(at)}}
	for i, text := range addresses {
		parsed, err := netip.ParseAddr(text)
		if err != nil {
			return nil, err
		}
		octets := parsed.As4()
		source := uint32(octets[0])<<24 | uint32(octets[1])<<16 | uint32(octets[2])<<8 | uint32(octets[3])
		toDrop := uint8(len(addresses) - i) // past the other addresses and the instruction that lets in
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: source, Jt: toDrop})
	}
	return append(filter, unix.SockFilter{Code: unix.BPF_RET, K: letIn}, unix.SockFilter{Code: unix.BPF_RET}), nil
}
