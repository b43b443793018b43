package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestNoticesArriveInOrder(t *testing.T) {
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

func TestNoticesThatNobodyKnowsDoNoHarm(t *testing.T) {
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

func TestAPeerThatDoesNotRead(t *testing.T) {
	// Given a peer that accepts and never reads
	silent := make(chan struct{})
	address := startRaw(t, func(net.Conn) { <-silent })
	t.Cleanup(func() { close(silent) })
	pool := startPool(t)
	// When more notices go out than it can hold
	text := strings.Repeat("x", 64<<10)
	for range 400 {
		if err := Notify(pool, address, "offer", text); err != nil {
			t.Fatal(err)
		}
	}
	// Then what waits is bounded
	connection, err := pool.connection(address)
	if err != nil {
		t.Fatal(err)
	}
	connection.out.mutex.Lock()
	waiting := connection.out.noticeBytes
	connection.out.mutex.Unlock()
	if waiting > pool.limits.noticeBytes {
		t.Errorf("%d bytes wait", waiting)
	}
	// And calls fail by their deadline
	ctx, cancel := context.WithTimeout(testContext(t), 50*time.Millisecond)
	defer cancel()
	if _, err := Call[question, reply](ctx, pool, address, "echo", question{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

func queued(text string) *frame {
	return &frame{line: bytes.NewBufferString(text)}
}

func TestTheOldestNoticesAreDropped(t *testing.T) {
	// Given a queue that holds three notices and is not written
	out := outbox{limits: limits{noticeBytes: 6, queuedBytes: 4}}
	dropped := 0
	for _, text := range []string{"1\n", "2\n", "3\n", "4\n", "5\n"} {
		dropped += out.pushNotice(queued(text))
	}
	// Then the newest three are left
	var batch bytes.Buffer
	out.take(&batch)
	if batch.String() != "3\n4\n5\n" || dropped != 2 {
		t.Errorf("%q is left, %d dropped", batch.String(), dropped)
	}
}

func TestTheQueueOfCallsIsBounded(t *testing.T) {
	out := outbox{limits: limits{noticeBytes: 4, queuedBytes: 4}}
	first, second := queued("too long alone\n"), queued("2\n")
	if err := out.push(first); err != nil {
		t.Fatalf("one call always fits: %v", err)
	}
	if err := out.push(second); err != ErrQueueFull {
		t.Fatalf("got %v", err)
	}
	if out.withdraw(first) {
		t.Error("counted as taken")
	}
	if err := out.push(second); err != nil {
		t.Errorf("after the withdrawal: %v", err)
	}
	var batch bytes.Buffer
	out.take(&batch)
	if !out.withdraw(second) || batch.String() != "2\n" {
		t.Errorf("not counted as taken; batch %q", batch.String())
	}
}

func TestSeveralLinesGoIntoOneWrite(t *testing.T) {
	out := outbox{limits: defaultLimits()}
	long := strings.Repeat("x", batchBytes+1)
	out.push(queued("1\n"))
	out.push(queued("2\n"))
	out.push(queued(long))
	out.pushNotice(queued("n\n"))
	var got []int
	for {
		var batch bytes.Buffer
		alone := out.take(&batch)
		if alone != nil {
			got = append(got, alone.Len())
			continue
		}
		if batch.Len() == 0 {
			break
		}
		got = append(got, batch.Len())
	}
	if diff := cmp.Diff([]int{6, len(long)}, got); diff != "" {
		t.Error(diff)
	}
}

func TestAStreamAndItsEnd(t *testing.T) {
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

func TestHowAStreamFails(t *testing.T) {
	stopped := errors.New("enough")
	handlers := NewHandlers()
	HandleStream(handlers, "fail", func(_ context.Context, _ int, send func(int) error) error {
		send(1)
		return &RemoteError{Kind: "fenced", Message: "epoch"}
	})
	ended := make(chan error, 1)
	HandleStream(handlers, "endless", func(ctx context.Context, _ int, send func(int) error) error {
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
		receive(t, ended)
	})
	t.Run("the context ends", func(t *testing.T) {
		ctx, cancel := context.WithCancel(testContext(t))
		err := Stream(ctx, pool, server.Address(), "endless", 1, func(int) error { cancel(); return nil })
		if !errors.Is(err, context.Canceled) || !MayHaveArrived(err) {
			t.Errorf("got %v", err)
		}
		receive(t, ended)
	})
	t.Run("the pool is closed", func(t *testing.T) {
		pool := startPool(t)
		err := Stream(testContext(t), pool, server.Address(), "endless", 1, func(int) error { pool.Close(); return nil })
		if !errors.Is(err, ErrClosed) {
			t.Errorf("got %v", err)
		}
		receive(t, ended)
		err = Stream(testContext(t), pool, server.Address(), "endless", 1, take)
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
		receive(t, ended)
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

func TestDatagrams(t *testing.T) {
	type datagram struct{ from, payload string }
	arrived := make(chan datagram, 10)
	handlers := NewHandlers()
	handlers.HandleDatagram(func(from string, payload []byte) { arrived <- datagram{from: from, payload: string(payload)} })
	here, there := startServer(t, "127.0.0.1:0", handlers), startServer(t, "127.0.0.1:0", NewHandlers())
	for _, payload := range []string{`{"ping":1}`, strings.Repeat("x", MaxDatagramBytes)} {
		if err := there.SendDatagram(here.Address(), []byte(payload)); err != nil {
			t.Fatal(err)
		}
		want := datagram{from: there.Address(), payload: payload}
		if got := receive(t, arrived); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	var tooLong *TooLongError
	if err := there.SendDatagram(here.Address(), make([]byte, MaxDatagramBytes+1)); !errors.As(err, &tooLong) {
		t.Errorf("got %v", err)
	}
}

// Given a pool that is closed, then no stream begins there, however soon the end of its contexts comes.
func TestAClosedPoolBeginsNoStream(t *testing.T) {
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
