package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"mastusher/internal/tier/network"
)

// keepAlive makes the kernel probe idle peers without waking the process.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// setTCPUserTimeout makes the kernel break a connection whose peer acknowledges nothing (RFC 5482).
func setTCPUserTimeout(raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// newDialer returns a dialer that sets the timeouts of a connection.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			network.SetReceiveBuffer(raw, receiveBufferBytes)
			return setTCPUserTimeout(raw)
		},
	}
}
