package network

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ListenConfig returns a configuration for listeners whose connections have a bounded receive buffer: bytes that have arrived and aren't
// read count as memory of the process. The system takes up to twice the size given. Where it can't be set, the system's default remains.
func ListenConfig(receiveBufferBytes int) *net.ListenConfig {
	return &net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		SetReceiveBuffer(raw, receiveBufferBytes)
		return nil
	}}
}

// SetReceiveBuffer bounds the receive buffer of a socket. It must be called before the socket is connected or listens, for the window that
// the peer is offered to follow.
func SetReceiveBuffer(raw syscall.RawConn, bytes int) {
	_ = raw.Control(func(descriptor uintptr) {
		// Without it the socket works the same, and holds more.
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
}
