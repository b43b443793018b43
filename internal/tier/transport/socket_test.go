package transport

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// tcpOption reads a TCP option of a socket.
func tcpOption(t *testing.T, socket net.Conn, name int) int {
	t.Helper()
	raw, err := socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	var failed error
	if err := raw.Control(func(descriptor uintptr) {
		value, failed = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, name)
	}); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return value
}

func TestSocket_BothSides_HaveKeepAliveAndUserTimeout(t *testing.T) {
	server, pool := startServer(t, "127.0.0.1:0", echoHandlers()), startPool(t)
	if _, err := Call[question, reply](testContext(t), pool, server.Address(), "echo", question{}); err != nil {
		t.Fatal(err)
	}
	connection, err := pool.connection(server.Address())
	if err != nil {
		t.Fatal(err)
	}
	sockets := map[string]net.Conn{"client": connection.socket}
	for accepted := range server.connections {
		sockets["server"] = accepted.socket
	}
	for side, socket := range sockets {
		for name, want := range map[int]int{
			unix.TCP_USER_TIMEOUT: int(tcpUserTimeout.Milliseconds()),
			unix.TCP_KEEPIDLE:     int(keepAliveIdle.Seconds()),
			unix.TCP_KEEPINTVL:    int(keepAliveInterval.Seconds()),
			unix.TCP_KEEPCNT:      keepAliveCount,
		} {
			if got := tcpOption(t, socket, name); got != want {
				t.Errorf("%s: option %d is %d, want %d", side, name, got, want)
			}
		}
	}
	if len(sockets) != 2 {
		t.Errorf("%d sockets, want 2", len(sockets))
	}
}
