package standin

import (
	"net"
	"os"
	"sync/atomic"
)

// hostsPerProcess is how many loopback addresses a process uses before it uses the first one again.
const hostsPerProcess = 64

// lastHost is the number of addresses handed out so far.
var lastHost atomic.Uint32

// FreeAddress returns an address on which nothing listens, for a process that is to be started with it. Each call uses a
// host of its own in 127.64.0.0/10, derived from the process ID, so that processes don't share hosts either: on 127.0.0.1, another
// listener or connection would soon take a port that is free now. The system must route all of 127.0.0.0/8 to loopback, as Linux does.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(nextHost().String(), "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// FreeUDPAddress is FreeAddress for datagrams.
func FreeUDPAddress() (string, error) {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(nextHost().String(), "0"))
	if err != nil {
		return "", err
	}
	return conn.LocalAddr().String(), conn.Close()
}

// nextHost returns the loopback address after the one that the last call in this process returned.
func nextHost() net.IP {
	number := uint32(os.Getpid())*hostsPerProcess + lastHost.Add(1)%hostsPerProcess
	return net.IPv4(127, 64|byte(number>>16)&63, byte(number>>8), byte(number))
}
