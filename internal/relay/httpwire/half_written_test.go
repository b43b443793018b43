package httpwire

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// TestPool_LeaseEndsHalfWritten_GoesOn: the lease ends while a request is half written, as by a process that was stopped in the middle of a
// write. The call, which started in time, continues: its partner gets it once and completely. No new call is started.
func TestPool_LeaseEndsHalfWritten_GoesOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	request := AppendRequest(nil, "POST", "/", "h", nil, bytes.Repeat([]byte("x"), 32<<20)) // more than any socket's buffers hold
	leaseEnded, received := make(chan struct{}), make(chan int, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			first := make([]byte, 1000)
			_, _ = io.ReadFull(conn, first)
			close(leaseEnded) // the request is half written when the lease ends
			time.Sleep(50 * time.Millisecond)
			n, _ := io.CopyN(io.Discard, conn, int64(len(request)-len(first)))
			received <- int(n) + len(first)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}()
	asked := 0
	mayWrite := func() bool {
		asked++
		select {
		case <-leaseEnded:
			return false
		default:
			return true
		}
	}
	pool, peer := NewPool(limits()), Peer{"s-1", listener.Addr().String()}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if got := pool.Do(ctx, peer, request, mayWrite, func(*Response) {}); got != Answered || asked != 1 {
		t.Errorf("the half-written call ends at stage %v, mayWrite was called %d times", got, asked)
	}
	if n := <-received; n != len(request) {
		t.Errorf("the partner received %d of %d bytes", n, len(request))
	}
	if got := pool.Do(ctx, peer, request, mayWrite, func(*Response) {}); got != Withheld {
		t.Errorf("a call after the end of the lease ends at stage %v, want Withheld", got)
	}
	if len(received) != 0 {
		t.Error("the partner received a second call")
	}
}
