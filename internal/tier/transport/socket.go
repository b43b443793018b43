package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// keepAlive makes the kernel probe an idle peer; the process is not woken for it.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveCount,
}

// setSilenceTimeout makes the kernel break a connection whose peer says nothing at all.
func setSilenceTimeout(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setSilenceTimeout(raw)
		},
	}
}
