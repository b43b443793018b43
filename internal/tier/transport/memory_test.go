package transport

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/memorybudget"
)

// longText has a line over maxIdleReadBytes.
var longText = strings.Repeat("x", 1<<20)

func TestServer_NoMemoryForLongCall_RefusedAndConnectionUsable(t *testing.T) {
	budget := memorybudget.New(512<<10, memorybudget.StoreShares)
	handlers := echoHandlers()
	handlers.SetMemory(budget)
	server, pool, ctx := startServer(t, "127.0.0.1:0", handlers), startPool(t), testContext(t)
	_, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: longText})
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Kind != KindBusy {
		t.Fatalf("long call: %v, want %s", err, KindBusy)
	}
	got, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: "short"})
	if err != nil || got.Text != "short" {
		t.Errorf("call after it: %q, %v", got.Text, err)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.connections) != 1 {
		t.Errorf("%d connections, want the first one", len(server.connections))
	}
}

func TestServer_MemoryForLongCall_GivenBack(t *testing.T) {
	budget := memorybudget.New(64<<20, memorybudget.StoreShares)
	handlers := echoHandlers()
	handlers.SetMemory(budget)
	server, pool, ctx := startServer(t, "127.0.0.1:0", handlers), startPool(t), testContext(t)
	for range 3 {
		got, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: longText})
		if err != nil || got.Text != longText {
			t.Fatalf("%d bytes, %v", len(got.Text), err)
		}
	}
	pool.Close()
	server.Close()
	for _, class := range memorybudget.Classes() {
		if used := budget.Counts(class).Used; used != 0 {
			t.Errorf("%d bytes of class %v are reserved after all connections have ended", used, class)
		}
	}
}

func TestPool_NoMemoryForLongAnswer_CallFailsAndConnectionUsable(t *testing.T) {
	handlers := NewHandlers()
	Handle(handlers, "long", func(context.Context, string, question) (reply, error) { return reply{Text: longText}, nil })
	Handle(handlers, "short", func(context.Context, string, question) (reply, error) { return reply{Text: "short"}, nil })
	server, pool, ctx := startServer(t, "127.0.0.1:0", handlers), startPool(t), testContext(t)
	pool.SetMemory(memorybudget.New(512<<10, memorybudget.ServerShares))
	_, err := Call[question, reply](ctx, pool, server.Address(), "long", question{})
	var refused *refusedLineError
	if !errors.As(err, &refused) {
		t.Fatalf("long answer: %v", err)
	}
	if got, err := Call[question, reply](ctx, pool, server.Address(), "short", question{}); err != nil || got.Text != "short" {
		t.Errorf("call after it: %q, %v", got.Text, err)
	}
}

// An item of a stream must be reserved as other lines are. Streams read lines of up to 64 MiB without asking for memory.
func TestStream_NoMemoryForLongItem_Fails(t *testing.T) {
	handlers := NewHandlers()
	HandleStream(handlers, "long", func(_ context.Context, _ question, send func(reply) error) error { return send(reply{Text: longText}) })
	server, pool, ctx := startServer(t, "127.0.0.1:0", handlers), startPool(t), testContext(t)
	budget := memorybudget.New(512<<10, memorybudget.ServerShares)
	pool.SetMemory(budget)
	err := Stream(ctx, pool, server.Address(), "long", question{}, func(reply) error { return nil })
	var refused *refusedLineError
	if !errors.As(err, &refused) {
		t.Errorf("error %v, want a refused line", err)
	}
	if used := budget.Counts(memorybudget.Lines).Used; used != 0 {
		t.Errorf("%d bytes are reserved after the stream", used)
	}
}

func TestStream_MemoryForLongItem_Received(t *testing.T) {
	handlers := NewHandlers()
	HandleStream(handlers, "long", func(_ context.Context, _ question, send func(reply) error) error { return send(reply{Text: longText}) })
	server, pool, ctx := startServer(t, "127.0.0.1:0", handlers), startPool(t), testContext(t)
	pool.SetMemory(memorybudget.New(16<<20, memorybudget.ServerShares))
	received := 0
	err := Stream(ctx, pool, server.Address(), "long", question{}, func(item reply) error {
		received += len(item.Text)
		return nil
	})
	if err != nil || received != len(longText) {
		t.Errorf("%d bytes, error %v; want %d", received, err, len(longText))
	}
}

func TestServer_LongLineStopsShort_GivesItsMemoryToOthers(t *testing.T) {
	budget := memorybudget.New(4<<20, memorybudget.Shares{memorybudget.Connections: 0.1, memorybudget.Small: 1, memorybudget.Lines: 0.9})
	handlers := echoHandlers()
	handlers.SetMemory(budget)
	server, ctx := startServer(t, "127.0.0.1:0", handlers), testContext(t)
	stalled, err := net.Dial("tcp4", server.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer stalled.Close()
	if _, err := stalled.Write([]byte(`{"call":1,"method":"echo","body":{"text":"` + longText[:900<<10])); err != nil {
		t.Fatal(err)
	}
	pool := startPool(t)
	for {
		got, err := Call[question, reply](ctx, pool, server.Address(), "echo", question{Text: longText})
		if err == nil && got.Text == longText {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("a line that stops short keeps its memory: %v", err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func TestOnAnswered_OutsideOfACall_RunsAtOnce(t *testing.T) {
	ran := false
	OnAnswered(t.Context(), func() { ran = true })
	if !ran {
		t.Error("the function did not run")
	}
}
