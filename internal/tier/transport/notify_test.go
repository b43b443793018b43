package transport

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

func TestNotify_ManyNotices_ArriveInOrder(t *testing.T) {
	const count = 1000
	arrived := make(chan int, count)
	handlers := NewHandlers()
	HandleNotice(handlers, "offer", func(_ string, notice int) { arrived <- notice })
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	for i := range count {
		if err := Notify(pool, server.Address(), "offer", i); err != nil {
			t.Fatal(err)
		}
	}
	for want := range count {
		if got := receive(t, arrived); got != want {
			t.Fatalf("got %d, want %d", got, want)
		}
	}
}

func TestNotify_UnknownNotices_KeepTheConnection(t *testing.T) {
	handlers := echoHandlers()
	HandleNotice(handlers, "offer", func(string, int) {})
	server, pool, ctx := startServer(t, "127.0.0.1:0", handlers), startPool(t), testContext(t)
	for _, err := range []error{
		Notify(pool, server.Address(), "unknown", 1),
		Notify(pool, server.Address(), "offer", "no number"),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{}); err != nil {
		t.Fatal(err)
	}
}

func TestNotify_PeerDoesNotRead_QueueIsBounded(t *testing.T) {
	// Given a peer that accepts and never reads
	silent := make(chan struct{})
	address := startRaw(t, func(net.Conn) { <-silent })
	t.Cleanup(func() { close(silent) })
	pool := startPool(t)
	// When more notices are sent than the queue can hold
	text := strings.Repeat("x", 64<<10)
	for range 400 {
		if err := Notify(pool, address, "offer", text); err != nil {
			t.Fatal(err)
		}
	}
	// Then the queue is bounded
	connection, err := pool.connection(address)
	if err != nil {
		t.Fatal(err)
	}
	connection.out.mutex.Lock()
	waiting := connection.out.noticeBytes
	connection.out.mutex.Unlock()
	if waiting > pool.limits.noticeBytes {
		t.Errorf("%d bytes of notices are queued, more than the limit", waiting)
	}
	// And calls fail at their deadline
	ctx, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
	defer cancel()
	if _, err := Call[question, reply](ctx, pool, address, "echo", question{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want context.DeadlineExceeded", err)
	}
}
