package httpwire

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// TestPool_LeaseEndsHalfWritten_GoesOn: a call that was begun in time and is half written when its lease ends, as by a process that was stopped in the middle
// of a write, goes on: its partner has it once and whole, and nothing new is begun.
func TestPool_LeaseEndsHalfWritten_GoesOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	request := AppendRequest(nil, "POST", "/", "h", nil, bytes.Repeat([]byte("x"), 32<<20)) // more than any socket's buffers hold
	over, whole := make(chan struct{}), make(chan int, 2)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			first := make([]byte, 1000)
			_, _ = io.ReadFull(conn, first)
			close(over) // now it is half written, and the lease ends
			time.Sleep(50 * time.Millisecond)
			n, _ := io.CopyN(io.Discard, conn, int64(len(request)-len(first)))
			whole <- int(n) + len(first)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}()
	asked := 0
	may := func() bool {
		asked++
		select {
		case <-over:
			return false
		default:
			return true
		}
	}
	p, to := NewPool(limits()), Peer{"s-1", l.Addr().String()}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if got := p.Do(ctx, to, request, may, func(*Response) {}); got != Answered || asked != 1 {
		t.Errorf("the call that was half written ends as %v, asked %d times", got, asked)
	}
	if n := <-whole; n != len(request) {
		t.Errorf("its partner had %d of %d bytes", n, len(request))
	}
	if got := p.Do(ctx, to, request, may, func(*Response) {}); got != Withheld {
		t.Errorf("a call after the lease ends as %v", got)
	}
	if len(whole) != 0 {
		t.Error("its partner had it twice")
	}
}
