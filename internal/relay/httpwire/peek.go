package httpwire

import (
	"errors"
	"net"
	"syscall"
)

// isQuiet reports whether an idle connection is still open and has nothing to read.
func isQuiet(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// peerClosed reports whether the peer has ended the connection, or its sending, and nothing is left to read before that.
func peerClosed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && !errors.Is(err, syscall.EAGAIN)
}

// peek returns how many bytes, of one, could be read from a connection, without waiting for anything, not even for a goroutine that reads it.
// EAGAIN: there are none, and the connection is open; one that is not a socket always counts as that.
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
