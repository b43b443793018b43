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
	"mastusher/internal/tier/wait"
)

// pollInterval is the time between reads of the file.
const pollInterval = 20 * time.Millisecond

// Network opens the sockets of one machine. It implements network.Network.
type Network struct {
	address netip.Addr
	path    string // of the file that lists the partitioned addresses

	mutex   sync.Mutex // guards the fields below
	content string     // of the file when it was last read
	filter  []unix.SockFilter
	sockets map[syscall.RawConn]struct{}
}

// New returns the network of the machine with an IPv4 address. The file at path must exist and lists, separated by white space, the
// addresses from which packets are dropped.
func New(address, path string) (*Network, error) {
	parsed, err := netip.ParseAddr(address)
	if err != nil {
		return nil, err
	}
	none, err := dropFilter(nil)
	if err != nil {
		return nil, err
	}
	n := &Network{address: parsed, path: path, filter: none, sockets: map[syscall.RawConn]struct{}{}}
	return n, n.reload()
}

// Follow applies changes of the file until ctx ends.
func (n *Network) Follow(ctx context.Context) {
	wait.Every(ctx, pollInterval, func() {
		_ = n.reload() // a file that is just being replaced is read at the next poll
	})
}

// reload reads the file and, if it has changed, attaches its filter to all sockets.
func (n *Network) reload() error {
	content, err := os.ReadFile(n.path)
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if string(content) == n.content {
		return nil
	}
	filter, err := dropFilter(strings.Fields(string(content)))
	if err != nil {
		return err
	}
	n.content, n.filter = string(content), filter
	for socket := range n.sockets {
		if err := attach(socket, filter); err != nil {
			delete(n.sockets, socket) // the socket has been closed
		}
	}
	return nil
}

// track attaches the filter to a socket, and lets reload replace it.
func (n *Network) track(connection syscall.Conn) error {
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
	plain.SetMultipathTCP(false) // multipath sockets do not accept a filter
	opened, err := plain.Listen(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	if err := n.track(opened.(*net.TCPListener)); err != nil {
		return nil, errors.Join(err, opened.Close())
	}
	return &listener{TCPListener: opened.(*net.TCPListener), network: n}, nil
}

// listener tracks the connections that it accepts.
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
	_ = l.network.track(accepted) // fails only if the connection is already closed
	return accepted, nil
}

// ListenPacket implements network.Network.
func (n *Network) ListenPacket(address *net.UDPAddr) (network.PacketConn, error) {
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	if err := n.track(socket); err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	return socket, nil
}

// Dial implements network.Network. The local address of the connection is that of the machine, by which the peer identifies it.
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
	if err := n.track(dialled.(*net.TCPConn)); err != nil {
		return nil, errors.Join(err, dialled.Close())
	}
	return dialled, nil
}
