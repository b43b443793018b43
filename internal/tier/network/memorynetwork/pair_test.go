package memorynetwork_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/network/memorynetwork"
)

const (
	delay   = 5 * time.Millisecond
	address = "10.0.0.2:80"
	// lingering is how long goroutines of the standard library and of timers may outlive their connections.
	lingering = 10 * time.Second
)

// pair holds two machines and a connection from the first to the second.
type pair struct {
	t           *testing.T
	network     *memorynetwork.Network
	here, there *memorynetwork.Machine
	from, to    *memorynetwork.Process
	listener    net.Listener
	near, far   net.Conn
}

// withPair runs a test with a pair in virtual time.
func withPair(t *testing.T, run func(p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pair{t: t, network: memorynetwork.New(memorynetwork.Options{Delay: delay})}
		p.here, p.there = p.network.Machine("10.0.0.1"), p.network.Machine("10.0.0.2")
		p.from, p.to = p.here.Start(), p.there.Start()
		p.listen()
		p.near, p.far = p.connect()
		run(p)
		p.from.Kill()
		p.to.Kill()
		time.Sleep(lingering)
	})
}

func (p *pair) listen() {
	p.t.Helper()
	var err error
	if p.listener, err = p.to.Listen(p.t.Context(), new(net.ListenConfig), "tcp4", address); err != nil {
		p.t.Fatal(err)
	}
}

// keepAliveDialer returns a dialer whose connections time out after 3 s without a response from the peer.
func keepAliveDialer() *net.Dialer {
	return &net.Dialer{Timeout: 500 * time.Millisecond,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
}

func (p *pair) dial() (net.Conn, error) {
	return p.from.Dial(p.t.Context(), keepAliveDialer(), "tcp4", address)
}

func (p *pair) connect() (near, far net.Conn) {
	p.t.Helper()
	near, err := p.dial()
	if err != nil {
		p.t.Fatal(err)
	}
	if far, err = p.listener.Accept(); err != nil {
		p.t.Fatal(err)
	}
	return near, far
}

func (p *pair) write(to net.Conn, text string) {
	p.t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		p.t.Fatal(err)
	}
}

// expect checks that the next bytes read are the text, and returns how long reading took.
func (p *pair) expect(from net.Conn, text string) time.Duration {
	p.t.Helper()
	started := time.Now()
	buffer := make([]byte, len(text))
	if _, err := io.ReadFull(from, buffer); err != nil || string(buffer) != text {
		p.t.Fatalf("read %q, %v; want %q", buffer, err, text)
	}
	return time.Since(started)
}

// expectEnd checks that the next read fails with the error, and returns how long the read took.
func (p *pair) expectEnd(from net.Conn, want error) time.Duration {
	p.t.Helper()
	started := time.Now()
	if n, err := from.Read(make([]byte, 1)); n != 0 || !errors.Is(err, want) {
		p.t.Fatalf("read %d bytes, %v; want %v", n, err, want)
	}
	return time.Since(started)
}
