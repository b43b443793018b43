package memorybudget

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// acceptFrom returns both ends of a connection that a listener with a budget has accepted.
func acceptFrom(t *testing.T, budget *Budget, connectionBytes int64) (accepted, caller net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(inner, budget, connectionBytes)
	defer listener.Close()
	if caller, err = net.Dial("tcp4", inner.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if accepted, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close(); caller.Close() })
	return accepted, caller
}

// readAll reads count bytes of a connection in pieces, and returns the first error.
func readAll(from net.Conn, count int) error {
	_, err := io.CopyN(io.Discard, from, int64(count))
	return err
}

// A head of small fields must be charged with what it takes once it is parsed. It was charged with its bytes alone.
func TestListener_HeadOfSmallFields_ReservesWhatItTakes(t *testing.T) {
	const fields, connectionBytes = 1000, 10_000
	budget := New(10<<20, ServerShares)
	accepted, caller := acceptFrom(t, budget, connectionBytes)
	head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", fields) + "\r\n"
	go func() { _, _ = io.WriteString(caller, head) }()
	if err := readAll(accepted, len(head)); err != nil {
		t.Fatal(err)
	}
	if used := budget.Counts(Connections).Used; used < connectionBytes+fields*200 {
		t.Errorf("%d bytes are reserved, want at least 200 for each of %d fields", used, fields)
	}
	ConnState(accepted, http.StateIdle)
	if used := budget.Counts(Connections).Used; used != connectionBytes {
		t.Errorf("%d bytes are reserved after the request, want %d", used, connectionBytes)
	}
}

func TestListener_NoMemoryForTheHead_ReadFails(t *testing.T) {
	budget := New(100_000, ServerShares)
	accepted, caller := acceptFrom(t, budget, 10_000)
	other, _ := acceptFrom(t, budget, 1_000) // a lease that is alone in its class may take more than the class's part
	defer other.Close()
	head := strings.Repeat("a:\n", 1000)
	go func() { _, _ = io.WriteString(caller, head) }()
	if err := readAll(accepted, len(head)); !errors.Is(err, ErrHeadRefused) {
		t.Errorf("error %v, want %v", err, ErrHeadRefused)
	}
}
