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
			t.Errorf("got %.10s, want %d", item, next)
		}
		next++
		return nil
	})
	if err != nil || next != 5+count {
		t.Fatalf("got %d items, %v", next-5, err)
	}
}

func TestStream_Failures_ReturnTheirErrors(t *testing.T) {
	stopped := errors.New("enough")
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
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	take := func(int) error { return nil }

	t.Run("the handler fails", func(t *testing.T) {
		var remote *RemoteError
		err := Stream(testContext(t), pool, server.Address(), "fail", 1, take)
		if !errors.As(err, &remote) || remote.Kind != "fenced" {
			t.Errorf("got %v", err)
		}
	})
	t.Run("the method is unknown", func(t *testing.T) {
		var remote *RemoteError
		err := Stream(testContext(t), pool, server.Address(), "unknown", 1, take)
		if !errors.As(err, &remote) || remote.Kind != KindUnknownMethod {
			t.Errorf("got %v", err)
		}
	})
	t.Run("the receiver has enough", func(t *testing.T) {
		err := Stream(testContext(t), pool, server.Address(), "endless", 1, func(int) error { return stopped })
		if err != stopped {
			t.Errorf("got %v", err)
		}
		_ = receive(t, ended)
	})
	t.Run("the context ends", func(t *testing.T) {
		ctx, cancel := context.WithCancel(testContext(t))
		err := Stream(ctx, pool, server.Address(), "endless", 1, func(int) error { cancel(); return nil })
		if !errors.Is(err, context.Canceled) || !MayHaveArrived(err) {
			t.Errorf("got %v", err)
		}
		_ = receive(t, ended)
	})
	t.Run("the pool is closed", func(t *testing.T) {
		closing := startPool(t)
		err := Stream(testContext(t), closing, server.Address(), "endless", 1, func(int) error { closing.Close(); return nil })
		if !errors.Is(err, ErrClosed) {
			t.Errorf("got %v", err)
		}
		_ = receive(t, ended)
		err = Stream(testContext(t), closing, server.Address(), "endless", 1, take)
		if !errors.Is(err, ErrClosed) || MayHaveArrived(err) {
			t.Errorf("after it: %v", err)
		}
	})
	t.Run("the receiver is slow", func(t *testing.T) {
		// A receiver that stops reading holds the handler up, and nothing is lost.
		want := 0
		err := Stream(testContext(t), pool, server.Address(), "endless", 1, func(item int) error {
			if item != want {
				t.Errorf("got %d, want %d", item, want)
			}
			want++
			if want == 20_000 {
				return stopped
			}
			return nil
		})
		if err != stopped {
			t.Errorf("got %v", err)
		}
		_ = receive(t, ended)
	})
	t.Run("the server goes", func(t *testing.T) {
		err := Stream(testContext(t), pool, server.Address(), "endless", 1, func(item int) error {
			if item == 10 {
				go server.Close()
			}
			return nil
		})
		if !MayHaveArrived(err) {
			t.Errorf("got %v", err)
		}
	})
}

// Given a pool that is closed, then no stream begins there, however soon the end of its contexts comes.
func TestStream_ClosedPool_FailsWithoutDialling(t *testing.T) {
	handlers := NewHandlers()
	HandleStream(handlers, "end", func(context.Context, int, func(int) error) error { return nil })
	server := startServer(t, "127.0.0.1:0", handlers)
	pool := startPool(t)
	pool.Close()
	for range 500 {
		err := Stream(testContext(t), pool, server.Address(), "end", 1, func(int) error { return nil })
		if !errors.Is(err, ErrClosed) || MayHaveArrived(err) {
			t.Fatalf("got %v", err)
		}
	}
}
