package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mastusher/internal/tier/network"
)

// receiveBufferBytes is the receive buffer requested for a connection to an endpoint: it bounds the part of a response that has arrived and
// that its client doesn't read. The system takes up to twice as much.
const receiveBufferBytes = 32 << 10

// IdleConnectionBytes is what an idle connection takes at most: its receive buffer, which its endpoint may fill.
const IdleConnectionBytes = 2 * receiveBufferBytes

// dialFunc opens a connection to an address.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// newDialer returns a dialFunc whose connections detect an unreachable peer by keep-alive probes and TCP_USER_TIMEOUT.
func newDialer(options Options) dialFunc {
	dialer := &net.Dialer{
		Timeout: options.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     options.KeepAliveIdle,
			Interval: options.KeepAliveInterval,
			Count:    options.KeepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			network.SetReceiveBuffer(raw, receiveBufferBytes)
			return setUserTimeout(raw, options.UserTimeout)
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return options.Network.Dial(ctx, dialer, "tcp4", address)
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, the time for which sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// isIdle reports whether a connection is open and has no bytes to be read.
func isIdle(raw syscall.RawConn) bool {
	wouldBlock := false
	err := raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		_, _, failure := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = failure == unix.EAGAIN
	})
	return err == nil && wouldBlock
}
