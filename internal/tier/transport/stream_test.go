package transport

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestStream_HandlerSendsItems_ReceivesThemAndTheEnd(t *testing.T) {
	const count = 2000
	handlers := NewHandlers()
	HandleStream(handlers, "count", func(_ context.Context, first int, send func(string) error) error {
		for i := range count {
			if err := send(fmt.Sprint(first+i, strings.Repeat(".", 1000))); err != nil {
				return err
			}
		}
		return nil
	})
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	next := 5
	err := Stream(testContext(t), pool, server.Address(), "count", next, func(item string) error {
		if !strings.HasPrefix(item, fmt.Sprint(next, ".")) {
			t.Errorf("item %.10s, want prefix %d", item, next)
		}
		next++
		return nil
	})
	if err != nil || next != 5+count {
		t.Fatalf("%d items, error %v; want all items", next-5, err)
	}
}

// errEnough is the error of a receiver that wants no further items.
var errEnough = errors.New("enough")

// failureHandlers has a stream that fails after one item, and an endless one. The returned channel receives the error with which the
// endless stream's handler ends.
func failureHandlers() (*Handlers, <-chan error) {
	handlers := NewHandlers()
	HandleStream(handlers, "fail", func(_ context.Context, _ int, send func(int) error) error {
		_ = send(1)
		return &RemoteError{Kind: "fenced", Message: "epoch"}
	})
	ended := make(chan error, 1)
	HandleStream(handlers, "endless", func(_ context.Context, _ int, send func(int) error) error {
		for i := 0; ; i++ {
			if err := send(i); err != nil {
				ended <- err
				return err
			}
		}
	})
	return handlers, ended
}

func ignoreItem(int) error { return nil }

func TestStream_HandlerFailsOrIsUnknown_ReturnsRemoteError(t *testing.T) {
	handlers, _ := failureHandlers()
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	for _, c := range []struct{ name, method, kind string }{
		{name: "the handler fails", method: "fail", kind: "fenced"},
		{name: "the method is unknown", method: "unknown", kind: KindUnknownMethod},
	} {
		t.Run(c.name, func(t *testing.T) {
			var remote *RemoteError
			err := Stream(testContext(t), pool, server.Address(), c.method, 1, ignoreItem)
			if !errors.As(err, &remote) || remote.Kind != c.kind {
				t.Errorf("error %v, want a RemoteError of the expected kind", err)
			}
		})
	}
}

func TestStream_ReceiverHasEnough_EndsTheHandler(t *testing.T) {
	handlers, ended := failureHandlers()
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	err := Stream(testContext(t), pool, server.Address(), "endless", 1, func(int) error { return errEnough })
	if err != errEnough {
		t.Errorf("error %v, want errEnough", err)
	}
	_ = receive(t, ended)
}

func TestStream_ContextEnds_EndsTheHandler(t *testing.T) {
	handlers, ended := failureHandlers()
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	ctx, cancel := context.WithCancel(testContext(t))
	err := Stream(ctx, pool, server.Address(), "endless", 1, func(int) error { cancel(); return nil })
	if !errors.Is(err, context.Canceled) || !MayHaveArrived(err) {
		t.Errorf("error %v, want context.Canceled after the request may have arrived", err)
	}
	_ = receive(t, ended)
}

func TestStream_PoolCloses_EndsTheHandlerAndLaterStreamsFail(t *testing.T) {
	handlers, ended := failureHandlers()
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	err := Stream(testContext(t), pool, server.Address(), "endless", 1, func(int) error { pool.Close(); return nil })
	if !errors.Is(err, ErrClosed) {
		t.Errorf("error %v, want ErrClosed", err)
	}
	_ = receive(t, ended)
	err = Stream(testContext(t), pool, server.Address(), "endless", 1, ignoreItem)
	if !errors.Is(err, ErrClosed) || MayHaveArrived(err) {
		t.Errorf("a stream of the closed pool failed with %v, want ErrClosed without having arrived", err)
	}
}

// Given a receiver that reads more slowly than the handler sends, then the handler is blocked and no item is lost.
func TestStream_SlowReceiver_GetsEveryItem(t *testing.T) {
	handlers, ended := failureHandlers()
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	want := 0
	err := Stream(testContext(t), pool, server.Address(), "endless", 1, func(item int) error {
		if item != want {
			t.Errorf("got %d, want %d", item, want)
		}
		want++
		if want == 20_000 {
			return errEnough
		}
		return nil
	})
	if err != errEnough {
		t.Errorf("error %v, want errEnough", err)
	}
	_ = receive(t, ended)
}

func TestStream_ServerCloses_MayHaveArrived(t *testing.T) {
	handlers, _ := failureHandlers()
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	err := Stream(testContext(t), pool, server.Address(), "endless", 1, func(item int) error {
		if item == 10 {
			go server.Close()
		}
		return nil
	})
	if !MayHaveArrived(err) {
		t.Errorf("error %v, want one after the request may have arrived", err)
	}
}

// Given a closed pool, then no stream starts, even before the cancellation of the pool's contexts takes effect.
func TestStream_ClosedPool_FailsWithoutDialling(t *testing.T) {
	handlers := NewHandlers()
	HandleStream(handlers, "end", func(context.Context, int, func(int) error) error { return nil })
	server := startServer(t, "127.0.0.1:0", handlers)
	pool := startPool(t)
	pool.Close()
	for range 500 {
		err := Stream(testContext(t), pool, server.Address(), "end", 1, func(int) error { return nil })
		if !errors.Is(err, ErrClosed) || MayHaveArrived(err) {
			t.Fatalf("error %v, want ErrClosed of a request that was not sent", err)
		}
	}
}
