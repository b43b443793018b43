// Package network is the one way by which the tier's processes open sockets, so that a test can put a network in memory in
// place of the system's.
package network

import (
	"context"
	"io"
	"net"
	"net/netip"
)

// Network opens sockets.
type Network interface {
	// Listen takes connections at an address, as config's own method does.
	Listen(ctx context.Context, config *net.ListenConfig, network, address string) (net.Listener, error)
	// ListenPacket takes datagrams at an address.
	ListenPacket(address *net.UDPAddr) (PacketConn, error)
	// Dial opens a connection, as dialer's own method does.
	Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error)
}

// PacketConn is a socket for datagrams.
type PacketConn interface {
	ReadFromUDPAddrPort(buffer []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(payload []byte, to netip.AddrPort) (int, error)
	Close() error
}

// TCPConn is a connection with what a server needs of TCP beside reading and writing.
type TCPConn interface {
	net.Conn
	io.ReaderFrom
	CloseWrite() error
	SetLinger(seconds int) error
}

// IdleProber is a connection that tells by itself whether it is open and nothing waits to be read: one that has no descriptor.
type IdleProber interface {
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
		return nil, err // not a nil *net.UDPConn in an interface
	}
	return socket, nil
}

// Dial implements Network.
func (System) Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// OrSystem returns the network, and the system's where it is nil.
func OrSystem(given Network) Network {
	if given == nil {
		return System{}
	}
	return given
}
