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
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
)

type question struct {
	Text string `json:"text"`
}

type reply struct {
	Text string `json:"text"`
}

// patience bounds every wait of a test that goes as it should.
const patience = 10 * time.Second

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
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
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func TestCallsOfOneConnectionAreAnsweredOutOfOrder(t *testing.T) {
	// Given a call that is held until another on the same connection has been answered
	release := make(chan struct{})
	handlers := echoHandlers()
	Handle(handlers, "hold", func(context.Context, string, question) (string, error) {
		<-release
		return "held", nil
	})
	server, pool, ctx := startServer(t, "127.0.0.1:0", handlers), startPool(t), testContext(t)
	held := make(chan string, 1)
	go func() {
		answer, _ := Call[question, string](ctx, pool, server.Address(), "hold", question{})
		held <- answer
	}()
	// When many more go out
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
	// Then each got its own answer, the held one too, over one connection
	if got := receive(t, held); got != "held" {
		t.Errorf("got %q", got)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.connections) != 1 {
		t.Errorf("%d connections", len(server.connections))
	}
}

type orderError struct{}

func (orderError) Error() string     { return "not now" }
func (orderError) ErrorKind() string { return "busy_store" }

func TestErrorsOfHandlersTravel(t *testing.T) {
	handlers := NewHandlers()
	failing := map[string]error{
		"kinded": fmt.Errorf("wrapped: %w", orderError{}),
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
				t.Fatalf("got %v", err)
			}
			if diff := cmp.Diff(c.want, *remote); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestABodyOfTheWrongShapeIsRefusedAndTheConnectionStays(t *testing.T) {
	server, pool, ctx := startServer(t, "127.0.0.1:0", echoHandlers()), startPool(t), testContext(t)
	_, err := Call[int, reply](ctx, pool, server.Address(), "echo", 7)
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Kind != KindBadRequest {
		t.Fatalf("got %v", err)
	}
	_, err = Call[question, int](ctx, pool, server.Address(), "echo", question{})
	var failed *CallError
	if !errors.As(err, &failed) || !failed.MayHaveArrived {
		t.Fatalf("got %v", err)
	}
	got, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: "still"})
	if err != nil || got.Text != "still" {
		t.Fatalf("got %v, %v", got, err)
	}
}

func TestBigLines(t *testing.T) {
	server, pool, ctx := startServer(t, "127.0.0.1:0", echoHandlers()), startPool(t), testContext(t)
	text := strings.Repeat("0123456789", 300_000)
	got, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: text})
	if err != nil || got.Text != text {
		t.Fatalf("got %d bytes, %v", len(got.Text), err)
	}
}

func TestARequestOverTheBoundIsNotSent(t *testing.T) {
	server, ctx := startServer(t, "127.0.0.1:0", echoHandlers()), testContext(t)
	pool := newPool(limits{lineBytes: 100, noticeBytes: 100, queuedBytes: 100})
	t.Cleanup(pool.Close)
	_, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: strings.Repeat("x", 100)})
	var tooLong *TooLongError
	if !errors.As(err, &tooLong) || MayHaveArrived(err) {
		t.Fatalf("got %v", err)
	}
}

func TestAnAnswerOverTheBound(t *testing.T) {
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
			t.Fatalf("got %v", err)
		}
	})
	t.Run("of the client breaks the connection", func(t *testing.T) {
		server := startServer(t, "127.0.0.1:0", handlers)
		pool := newPool(small)
		defer pool.Close()
		_, err := Call[question, string](testContext(t), pool, server.Address(), "long", question{})
		var tooLong *TooLongError
		if !errors.As(err, &tooLong) || !MayHaveArrived(err) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestGarbageClosesTheConnection(t *testing.T) {
	server := startServer(t, "127.0.0.1:0", echoHandlers())
	garbage := []string{
		"GET / HTTP/1.1\r\n",
		"\n",
		`{"call":1,"method":"echo","body":{"text":}}` + "\n",
		`{"call":1,"method":"echo","body":{}},{"call":2}` + "\n",
		`{"answer":1,"body":{}}` + "\n",
	}
	for _, text := range garbage {
		t.Run(text, func(t *testing.T) {
			socket, err := net.Dial("tcp4", server.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer socket.Close()
			socket.SetDeadline(time.Now().Add(patience))
			fmt.Fprint(socket, text)
			if got, err := bufio.NewReader(socket).ReadString('\n'); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

func TestGarbageInPlaceOfAnAnswerFailsTheCall(t *testing.T) {
	address := startRaw(t, func(socket net.Conn) {
		bufio.NewReader(socket).ReadString('\n')
		fmt.Fprint(socket, "HTTP/1.1 400 Bad Request\n")
	})
	_, err := Call[question, reply](testContext(t), startPool(t), address, "echo", question{})
	if !errors.Is(err, ErrBadLine) || !MayHaveArrived(err) {
		t.Fatalf("got %v", err)
	}
}

// startRaw accepts connections and hands each to serve.
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

func TestABrokenConnectionFailsAllItsCallsAtOnce(t *testing.T) {
	const calls = 10
	address := startRaw(t, func(socket net.Conn) {
		reader := bufio.NewReader(socket)
		for range calls {
			reader.ReadString('\n')
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
			t.Fatalf("got %v", err)
		}
	}
}

func TestAPeerThatIsNotThere(t *testing.T) {
	// Given an address where nobody listens
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	pool, ctx := startPool(t), testContext(t)
	// When it is called, then the call fails and has surely not run
	_, err = Call[question, reply](ctx, pool, address, "echo", question{})
	var failed *CallError
	if !errors.As(err, &failed) || MayHaveArrived(err) {
		t.Fatalf("got %v", err)
	}
	// And while the next dial waits, calls and notices fail at once
	pin(t, pool, address, time.Hour)
	_, err = Call[question, reply](ctx, pool, address, "echo", question{})
	if !errors.Is(err, ErrBackoff) || MayHaveArrived(err) {
		t.Errorf("got %v", err)
	}
	if err := Notify(pool, address, "offer", question{}); !errors.Is(err, ErrBackoff) {
		t.Errorf("got %v", err)
	}
	// And once it is over, the peer is dialled again
	startServer(t, address, echoHandlers())
	pin(t, pool, address, -time.Hour)
	if _, err := Call[question, reply](ctx, pool, address, "echo", question{}); err != nil {
		t.Errorf("got %v", err)
	}
}

// pin sets when a peer that failed may be dialled again.
func pin(t testing.TB, pool *Pool, address string, after time.Duration) {
	t.Helper()
	peer, err := pool.peer(address)
	if err != nil {
		t.Fatal(err)
	}
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if peer.failures == 0 {
		t.Fatal("no failure noted")
	}
	peer.retryAt = time.Now().Add(after)
}

func TestBackoff(t *testing.T) {
	cases := []struct {
		failures int
		share    float64
		want     time.Duration
	}{
		{failures: 1, share: 0, want: 50 * time.Millisecond},
		{failures: 1, share: 1, want: 25 * time.Millisecond},
		{failures: 3, share: 0, want: 200 * time.Millisecond},
		{failures: 6, share: 0, want: 200 * time.Millisecond},
		{failures: 1000, share: 0.5, want: 150 * time.Millisecond},
	}
	for _, c := range cases {
		if got := backoff(c.failures, c.share); got != c.want {
			t.Errorf("%d failures, share %v: %v, want %v", c.failures, c.share, got, c.want)
		}
	}
}

func TestAServerThatStartsAgainAtItsAddress(t *testing.T) {
	// Given a connection that was of use
	server, pool, ctx := startServer(t, "127.0.0.1:0", echoHandlers()), startPool(t), testContext(t)
	address := server.Address()
	if _, err := Call[question, reply](ctx, pool, address, "echo", question{}); err != nil {
		t.Fatal(err)
	}
	connection, err := pool.connection(address)
	if err != nil {
		t.Fatal(err)
	}
	// When the server starts again
	server.Close()
	receive(t, connection.dialCtx.Done())
	startServer(t, address, echoHandlers())
	// Then the next call dials at once
	got, err := Call[question, reply](ctx, pool, address, "echo", question{Text: "again"})
	if err != nil || got.Text != "again" {
		t.Fatalf("got %v, %v", got, err)
	}
}

func TestAHandlersContextEndsWithItsCaller(t *testing.T) {
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
		t.Errorf("got %v", err)
	}
	receive(t, ended)
}

func TestClosingThePoolFailsOpenCalls(t *testing.T) {
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
		t.Errorf("got %v", err)
	}
	if err := Notify(pool, server.Address(), "offer", question{}); !errors.Is(err, ErrClosed) {
		t.Errorf("got %v", err)
	}
}
