package httpwire

import (
	"errors"
	"net"
	"syscall"
)

// isOpenWithoutData reports whether a connection is open and has no bytes to read.
func isOpenWithoutData(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// peerClosed reports whether the peer has closed the connection or its sending side, and no bytes are left to read.
func peerClosed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && !errors.Is(err, syscall.EAGAIN)
}

// peek returns 1 if a byte can be read from a connection, without consuming it, else 0. It does not block, not even while another goroutine
// reads from the connection. The error is EAGAIN if the connection is open and has no bytes; a connection that is not a socket always
// counts as that.
func peek(c net.Conn) (n int, err error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	var recvErr error
	if err = raw.Control(func(fd uintptr) {
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err == nil {
		err = recvErr
	}
	return max(n, 0), err
}
