package proxy

import (
	"errors"
	"io"
	"net"
	"testing"
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

func TestClientConn_Idle_IsClosedAtOnce(t *testing.T) {
	near, far := newPair(t)
	near.closeWhenIdle()
	if got, err := io.ReadAll(far); len(got) != 0 || err != nil {
		t.Errorf("the client got %q, %v", got, err)
	}
}
