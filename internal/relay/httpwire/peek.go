package httpwire

import (
	"errors"
	"net"
	"syscall"
)

// isQuiet tells whether an idle connection is still open and has nothing to read.
func isQuiet(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// peerClosed tells whether the peer has ended the connection, or its sending, and nothing is left to read before that.
func peerClosed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && !errors.Is(err, syscall.EAGAIN)
}

// peek looks at what stands in a connection's buffer, and waits for nothing, not even for a goroutine that reads it. EAGAIN: there is
// nothing, and the connection is open. One that is no socket is taken for such.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	var got error
	if err = raw.Control(func(fd uintptr) {
		n, _, got = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err == nil {
		err = got
	}
	return max(n, 0), err
}
