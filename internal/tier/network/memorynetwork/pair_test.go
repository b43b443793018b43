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
func withPair(t *testing.T, run func(w *pair)) {
	synctest.Test(t, func(t *testing.T) {
		w := &pair{t: t, network: memorynetwork.New(memorynetwork.Options{Delay: delay})}
		w.here, w.there = w.network.Machine("10.0.0.1"), w.network.Machine("10.0.0.2")
		w.from, w.to = w.here.Start(), w.there.Start()
		w.listen()
		w.near, w.far = w.connect()
		run(w)
		w.from.Kill()
		w.to.Kill()
		time.Sleep(lingering)
	})
}

func (w *pair) listen() {
	w.t.Helper()
	var err error
	if w.listener, err = w.to.Listen(w.t.Context(), new(net.ListenConfig), "tcp4", address); err != nil {
		w.t.Fatal(err)
	}
}

// keepAliveDialer returns a dialer whose connections time out after 3 s without a response from the peer.
func keepAliveDialer() *net.Dialer {
	return &net.Dialer{Timeout: 500 * time.Millisecond,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
}

func (w *pair) dial() (net.Conn, error) {
	return w.from.Dial(w.t.Context(), keepAliveDialer(), "tcp4", address)
}

func (w *pair) connect() (near, far net.Conn) {
	w.t.Helper()
	near, err := w.dial()
	if err != nil {
		w.t.Fatal(err)
	}
	if far, err = w.listener.Accept(); err != nil {
		w.t.Fatal(err)
	}
	return near, far
}

func (w *pair) write(to net.Conn, text string) {
	w.t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		w.t.Fatal(err)
	}
}

// expect checks that the next bytes read are the text, and returns how long reading took.
func (w *pair) expect(from net.Conn, text string) time.Duration {
	w.t.Helper()
	started := time.Now()
	buffer := make([]byte, len(text))
	if _, err := io.ReadFull(from, buffer); err != nil || string(buffer) != text {
		w.t.Fatalf("read %q, %v; want %q", buffer, err, text)
	}
	return time.Since(started)
}

// expectEnd checks that the next read fails with the error, and returns how long the read took.
func (w *pair) expectEnd(from net.Conn, want error) time.Duration {
	w.t.Helper()
	started := time.Now()
	if n, err := from.Read(make([]byte, 1)); n != 0 || !errors.Is(err, want) {
		w.t.Fatalf("read %d bytes, %v; want %v", n, err, want)
	}
	return time.Since(started)
}
