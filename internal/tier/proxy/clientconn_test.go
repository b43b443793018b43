package proxy

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"mastusher/internal/tier/memorybudget"
)

// newPair returns both ends of a client's connection.
func newPair(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	far, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close(); near.Close() })
	return &clientConn{TCPConn: near.(*net.TCPConn), idle: true}, far
}

func TestClientConn_Closing_ReadsNoNewRequest(t *testing.T) {
	near, far := newPair(t)
	_, _ = io.WriteString(far, "GET")
	near.closing = true // as if a shutdown began between the arrival and the reading of the bytes
	if n, err := near.Read(make([]byte, 10)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if near.beginRequest() {
		t.Error("a request has begun on a closing connection")
	}
}

func TestClientConn_Closing_ServesStartedRequest(t *testing.T) {
	near, far := newPair(t)
	_, _ = io.WriteString(far, "GET")
	if n, err := near.Read(make([]byte, 2)); n != 2 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	near.closeWhenIdle()
	if n, err := near.Read(make([]byte, 10)); n != 1 || err != nil {
		t.Errorf("read %d bytes of the rest, %v", n, err)
	}
	if !near.beginRequest() {
		t.Error("a request that had begun before the shutdown was refused")
	}
	if _, err := near.Write([]byte("answer")); err != nil {
		t.Errorf("write: %v", err)
	}
	near.responseSent()
	if got, err := io.ReadAll(far); string(got) != "answer" || err != nil {
		t.Errorf("the client got %q, %v", got, err)
	}
}

// A head of small fields must be charged with what it takes once it is parsed. It was charged with its bytes alone.
func TestClientConn_HeadOfSmallFields_ReservesWhatItTakes(t *testing.T) {
	const fields = 1000
	budget := memorybudget.New(10<<20, memorybudget.ServerShares)
	near, far := newPair(t)
	near.lease, _ = budget.TryReserve(memorybudget.Connections, connectionBytes)
	head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", fields) + "\r\n"
	_, _ = io.WriteString(far, head)
	if _, err := io.CopyN(io.Discard, struct{ io.Reader }{near}, int64(len(head))); err != nil {
		t.Fatal(err)
	}
	if used := budget.Counts(memorybudget.Connections).Used; used < connectionBytes+fields*200 {
		t.Errorf("%d bytes are reserved, want at least 200 for each of %d fields", used, fields)
	}
	near.responseSent()
	if used := budget.Counts(memorybudget.Connections).Used; used != connectionBytes {
		t.Errorf("%d bytes are reserved after the request, want %d", used, connectionBytes)
	}
}

func TestClientConn_Idle_IsClosedAtOnce(t *testing.T) {
	near, far := newPair(t)
	near.closeWhenIdle()
	if got, err := io.ReadAll(far); len(got) != 0 || err != nil {
		t.Errorf("the client got %q, %v", got, err)
	}
}
