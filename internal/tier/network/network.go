// Package network is the interface through which all processes of the tier open sockets, so that tests can replace the system's
// network by one in memory or one with partitions.
package network

import (
	"context"
	"io"
	"net"
	"net/netip"
)

// Network opens sockets. Implementations are safe for concurrent use.
type Network interface {
	// Listen listens for connections at an address, as config.Listen does.
	Listen(ctx context.Context, config *net.ListenConfig, network, address string) (net.Listener, error)
	// ListenPacket opens a datagram socket at an address.
	ListenPacket(address *net.UDPAddr) (PacketConn, error)
	// Dial opens a connection, as dialer.DialContext does.
	Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error)
}

// PacketConn is a datagram socket with the methods of net.UDPConn that the tier uses.
type PacketConn interface {
	ReadFromUDPAddrPort(buffer []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(payload []byte, to netip.AddrPort) (int, error)
	Close() error
}

// TCPConn is a net.Conn with the further methods of net.TCPConn that a server needs.
type TCPConn interface {
	net.Conn
	io.ReaderFrom
	CloseWrite() error
	SetLinger(seconds int) error
}

// IdleProber is implemented by connections without a file descriptor, which therefore report themselves whether they are idle.
type IdleProber interface {
	// Idle reports whether the connection is open and has nothing to read.
	Idle() bool
}

// System is the operating system's network.
type System struct{}

// Listen implements Network.
func (System) Listen(ctx context.Context, config *net.ListenConfig, network, address string) (net.Listener, error) {
	return config.Listen(ctx, network, address)
}

// ListenPacket implements Network.
func (System) ListenPacket(address *net.UDPAddr) (PacketConn, error) {
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err // returning socket would give a non-nil interface that holds a nil *net.UDPConn
	}
	return socket, nil
}

// Dial implements Network.
func (System) Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// OrSystem returns the given network, or the system's if it is nil.
func OrSystem(given Network) Network {
	if given == nil {
		return System{}
	}
	return given
}
