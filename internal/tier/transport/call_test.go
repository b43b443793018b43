package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
)

func TestCall_ManyOnOneConnection_AnsweredOutOfOrder(t *testing.T) {
	// Given a call whose handler blocks until other calls on the same connection have been answered
	release := make(chan struct{})
	handlers := echoHandlers()
	Handle(handlers, "block", func(context.Context, string, question) (string, error) {
		<-release
		return "unblocked", nil
	})
	server, pool, ctx := startServer(t, "127.0.0.1:0", handlers), startPool(t), testContext(t)
	blocked := make(chan string, 1)
	go func() {
		answer, _ := Call[question, string](ctx, pool, server.Address(), "block", question{})
		blocked <- answer
	}()
	// When many more calls are sent
	var running sync.WaitGroup
	for i := range 100 {
		running.Go(func() {
			text := fmt.Sprint("<", i, "&>\n")
			got, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: text})
			if err != nil || got.Text != text {
				t.Errorf("%d: got %q, %v", i, got.Text, err)
			}
		})
	}
	running.Wait()
	close(release)
	// Then each call got its own answer, including the blocked one, over one connection
	if got := receive(t, blocked); got != "unblocked" {
		t.Errorf("answer %q of the blocked call, want that of its handler", got)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.connections) != 1 {
		t.Errorf("%d connections, want 1", len(server.connections))
	}
}

type kindedError struct{}

func (kindedError) Error() string { return "not now" }

func (kindedError) ErrorKind() string { return "busy_store" }

func TestCall_HandlerFails_ReturnsItsKind(t *testing.T) {
	handlers := NewHandlers()
	failing := map[string]error{
		"kinded": fmt.Errorf("wrapped: %w", kindedError{}),
		"plain":  errors.New("broken"),
		"remote": &RemoteError{Kind: "fenced", Message: "epoch 7"},
	}
	for method, err := range failing {
		Handle(handlers, method, func(context.Context, string, question) (reply, error) { return reply{}, err })
	}
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	cases := []struct {
		method string
		want   RemoteError
	}{
		{method: "kinded", want: RemoteError{Kind: "busy_store", Message: "wrapped: not now"}},
		{method: "plain", want: RemoteError{Kind: KindInternal, Message: "broken"}},
		{method: "remote", want: RemoteError{Kind: "fenced", Message: "epoch 7"}},
		{method: "missing", want: RemoteError{Kind: KindUnknownMethod, Message: "missing"}},
	}
	for _, c := range cases {
		t.Run(c.method, func(t *testing.T) {
			_, err := Call[question, reply](testContext(t), pool, server.Address(), c.method, question{})
			var remote *RemoteError
			if !errors.As(err, &remote) {
				t.Fatalf("error %v, want a RemoteError", err)
			}
			if diff := cmp.Diff(c.want, *remote); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCall_BodyOfAnotherType_FailsAndKeepsTheConnection(t *testing.T) {
	server, pool, ctx := startServer(t, "127.0.0.1:0", echoHandlers()), startPool(t), testContext(t)
	_, err := Call[int, reply](ctx, pool, server.Address(), "echo", 7)
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Kind != KindBadRequest {
		t.Fatalf("error %v, want KindBadRequest", err)
	}
	_, err = Call[question, int](ctx, pool, server.Address(), "echo", question{})
	var failed *CallError
	if !errors.As(err, &failed) || !failed.MayHaveArrived {
		t.Fatalf("error %v, want a CallError after the request may have arrived", err)
	}
	got, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: "still"})
	if err != nil || got.Text != "still" {
		t.Fatalf("answer %v, error %v; want the text of the request", got, err)
	}
}

func TestCall_LargeBody_IsAnswered(t *testing.T) {
	server, pool, ctx := startServer(t, "127.0.0.1:0", echoHandlers()), startPool(t), testContext(t)
	text := strings.Repeat("0123456789", 300_000)
	got, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: text})
	if err != nil || got.Text != text {
		t.Fatalf("answer of %d bytes, error %v; want the text of the request", len(got.Text), err)
	}
}

func TestCall_RequestOverTheBound_IsNotSent(t *testing.T) {
	server, ctx := startServer(t, "127.0.0.1:0", echoHandlers()), testContext(t)
	pool := newPool(limits{lineBytes: 100, noticeBytes: 100, queuedBytes: 100})
	t.Cleanup(pool.Close)
	_, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: strings.Repeat("x", 100)})
	var tooLong *TooLongError
	if !errors.As(err, &tooLong) || MayHaveArrived(err) {
		t.Fatalf("error %v, want a TooLongError of a request that was not sent", err)
	}
}

func TestCall_AnswerOverTheBound_Fails(t *testing.T) {
	text := strings.Repeat("x", 200)
	small := limits{lineBytes: 150, noticeBytes: 1000, queuedBytes: 1000}
	handlers := NewHandlers()
	Handle(handlers, "long", func(context.Context, string, question) (string, error) { return text, nil })

	t.Run("of the server is a typed error", func(t *testing.T) {
		server, err := listen("127.0.0.1:0", handlers, log.NewNopLogger(), small)
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		_, err = Call[question, string](testContext(t), startPool(t), server.Address(), "long", question{})
		var remote *RemoteError
		if !errors.As(err, &remote) || remote.Kind != KindTooLong {
			t.Fatalf("error %v, want KindTooLong", err)
		}
	})
	t.Run("of the client breaks the connection", func(t *testing.T) {
		server := startServer(t, "127.0.0.1:0", handlers)
		pool := newPool(small)
		defer pool.Close()
		_, err := Call[question, string](testContext(t), pool, server.Address(), "long", question{})
		var tooLong *TooLongError
		if !errors.As(err, &tooLong) || !MayHaveArrived(err) {
			t.Fatalf("error %v, want a TooLongError after the request may have arrived", err)
		}
	})
}

func TestCall_MalformedAnswer_Fails(t *testing.T) {
	address := startRaw(t, func(socket net.Conn) {
		_, _ = bufio.NewReader(socket).ReadString('\n')
		fmt.Fprint(socket, "HTTP/1.1 400 Bad Request\n")
	})
	_, err := Call[question, reply](testContext(t), startPool(t), address, "echo", question{})
	if !errors.Is(err, ErrBadLine) || !MayHaveArrived(err) {
		t.Fatalf("error %v, want ErrBadLine after the request may have arrived", err)
	}
}

func TestCall_ConnectionBreaks_AllPendingFailAtOnce(t *testing.T) {
	const calls = 10
	address := startRaw(t, func(socket net.Conn) {
		reader := bufio.NewReader(socket)
		for range calls {
			_, _ = reader.ReadString('\n')
		}
	})
	pool, ctx := startPool(t), testContext(t)
	failures := make(chan error, calls)
	for range calls {
		go func() {
			_, err := Call[question, reply](ctx, pool, address, "echo", question{})
			failures <- err
		}()
	}
	for range calls {
		err := receive(t, failures)
		var failed *CallError
		if !errors.As(err, &failed) || !failed.MayHaveArrived || errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("error %v, want a CallError before the deadline, after the request may have arrived", err)
		}
	}
}

func TestCall_CallerStops_EndsTheHandlersContext(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	handlers := NewHandlers()
	Handle(handlers, "wait", func(ctx context.Context, _ string, _ question) (reply, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return reply{}, ctx.Err()
	})
	server, pool := startServer(t, "127.0.0.1:0", handlers), startPool(t)
	ctx, cancel := context.WithCancel(testContext(t))
	failure := make(chan error, 1)
	go func() {
		_, err := Call[question, reply](ctx, pool, server.Address(), "wait", question{})
		failure <- err
	}()
	receive(t, started)
	cancel()
	if err := receive(t, failure); !errors.Is(err, context.Canceled) || !MayHaveArrived(err) {
		t.Errorf("error %v, want context.Canceled after the request may have arrived", err)
	}
	receive(t, ended)
}
