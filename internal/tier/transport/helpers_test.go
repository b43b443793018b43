package transport

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
)

type question struct {
	Text string `json:"text"`
}

type reply struct {
	Text string `json:"text"`
}

// testTimeout bounds every wait in tests; only a failing test reaches it.
const testTimeout = 10 * time.Second

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func startServer(t testing.TB, address string, handlers *Handlers) *Server {
	t.Helper()
	server, err := Listen(address, handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return server
}

func startPool(t testing.TB) *Pool {
	pool := NewPool()
	t.Cleanup(pool.Close)
	return pool
}

func echoHandlers() *Handlers {
	handlers := NewHandlers()
	Handle(handlers, "echo", func(_ context.Context, _ string, request question) (reply, error) {
		return reply(request), nil
	})
	return handlers
}

func receive[T any](t testing.TB, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatal("no value received within testTimeout")
		panic("unreachable")
	}
}

// startRaw listens without a Server, passes each accepted connection to serve, and returns the address.
func startRaw(t testing.TB, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer socket.Close()
				serve(socket)
			})
		}
	})
	t.Cleanup(serving.Wait)
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}
