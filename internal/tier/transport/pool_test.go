package transport

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

func TestCall_UnreachablePeer_FailsAndBacksOff(t *testing.T) {
	// Given an address without a listener
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	pool, ctx := startPool(t), testContext(t)
	// When it is called, then the call fails and certainly has not run
	_, err = Call[question, reply](ctx, pool, address, "echo", question{})
	var failed *CallError
	if !errors.As(err, &failed) || MayHaveArrived(err) {
		t.Fatalf("error %v, want a CallError of a request that was not sent", err)
	}
	// And during the backoff calls and notices fail immediately
	setBackoff(t, pool, address, time.Hour)
	_, err = Call[question, reply](ctx, pool, address, "echo", question{})
	if !errors.Is(err, ErrBackoff) || MayHaveArrived(err) {
		t.Errorf("error %v of a call during the backoff, want ErrBackoff of a request that was not sent", err)
	}
	if err := Notify(pool, address, "offer", question{}); !errors.Is(err, ErrBackoff) {
		t.Errorf("error %v of a notice during the backoff, want ErrBackoff", err)
	}
	// And after the backoff the peer is dialled again
	startServer(t, address, echoHandlers())
	setBackoff(t, pool, address, -time.Hour)
	if _, err := Call[question, reply](ctx, pool, address, "echo", question{}); err != nil {
		t.Errorf("error %v of a call after the backoff, want none", err)
	}
}

// setBackoff sets the end of the backoff of a peer that failed, relative to now.
func setBackoff(t testing.TB, pool *Pool, address string, after time.Duration) {
	t.Helper()
	peer, err := pool.peer(address)
	if err != nil {
		t.Fatal(err)
	}
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if peer.failures == 0 {
		t.Fatal("the peer has no recorded failure")
	}
	peer.retryAt = time.Now().Add(after)
}

func TestBackoff(t *testing.T) {
	cases := []struct {
		failures int
		jitter   float64
		want     time.Duration
	}{
		{failures: 1, jitter: 0, want: 50 * time.Millisecond},
		{failures: 1, jitter: 1, want: 25 * time.Millisecond},
		{failures: 3, jitter: 0, want: 200 * time.Millisecond},
		{failures: 6, jitter: 0, want: 200 * time.Millisecond},
		{failures: 1000, jitter: 0.5, want: 150 * time.Millisecond},
	}
	for _, c := range cases {
		if got := backoff(c.failures, c.jitter); got != c.want {
			t.Errorf("%d failures, jitter %v: %v, want %v", c.failures, c.jitter, got, c.want)
		}
	}
}

func TestCall_ServerRestarts_ReachesIt(t *testing.T) {
	// Given a connection that was useful
	server, pool, ctx := startServer(t, "127.0.0.1:0", echoHandlers()), startPool(t), testContext(t)
	address := server.Address()
	if _, err := Call[question, reply](ctx, pool, address, "echo", question{}); err != nil {
		t.Fatal(err)
	}
	connection, err := pool.connection(address)
	if err != nil {
		t.Fatal(err)
	}
	// When the server restarts
	server.Close()
	receive(t, connection.dialCtx.Done())
	startServer(t, address, echoHandlers())
	// Then the next call dials immediately
	got, err := Call[question, reply](ctx, pool, address, "echo", question{Text: "again"})
	if err != nil || got.Text != "again" {
		t.Fatalf("answer %v, error %v; want the text of the request", got, err)
	}
}

func TestPool_Close_FailsPendingCalls(t *testing.T) {
	started := make(chan struct{})
	handlers := NewHandlers()
	Handle(handlers, "wait", func(ctx context.Context, _ string, _ question) (reply, error) {
		close(started)
		<-ctx.Done()
		return reply{}, nil
	})
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	failure := make(chan error, 1)
	go func() {
		_, err := Call[question, reply](testContext(t), pool, server.Address(), "wait", question{})
		failure <- err
	}()
	receive(t, started)
	pool.Close()
	if err := receive(t, failure); !errors.Is(err, ErrClosed) || !MayHaveArrived(err) {
		t.Errorf("error %v of a pending call, want ErrClosed after the request may have arrived", err)
	}
	if err := Notify(pool, server.Address(), "offer", question{}); !errors.Is(err, ErrClosed) {
		t.Errorf("error %v of a notice after Close, want ErrClosed", err)
	}
}

func TestPool_Close_ItsGoroutinesHaveEnded(t *testing.T) {
	server := startServer(t, "127.0.0.1:0", echoHandlers())
	ctx := testContext(t)
	before := runtime.NumGoroutine()
	for range 20 {
		// Given a pool with an open connection, one being dialled, and notices being written,
		pool := NewPool()
		if _, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{}); err != nil {
			t.Fatal(err)
		}
		_ = Notify(pool, "127.0.0.1:1", "offer", 1)
		_ = Notify(pool, server.Address(), "offer", strings.Repeat("x", 100<<10))
		// when it is closed, then none of its goroutines is left.
		pool.Close()
		for _, stack := range stacks() {
			if strings.Contains(stack, "(*clientConnection).run") {
				t.Fatalf("a goroutine is running after Close:\n%s", stack)
			}
		}
	}
	if after := runtime.NumGoroutine(); after > before+20 { // the server's goroutines for the connections end a little later
		t.Errorf("%d goroutines after Close, %d before, want at most 20 more", after, before)
	}
}

// stacks returns the stacks of all goroutines.
func stacks() []string {
	buffer := make([]byte, 1<<20)
	return strings.Split(string(buffer[:runtime.Stack(buffer, true)]), "\n\n")
}
