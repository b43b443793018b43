package memorynetwork_test

import (
	"bytes"
	"errors"
	"io"
	"os"
	"syscall"
	"testing"
	"time"
)

func TestConnection_Bytes_ArriveInOrderAfterTheDelay(t *testing.T) {
	withPair(t, func(w *pair) {
		w.write(w.near, "one ")
		w.write(w.near, "two")
		if took := w.expect(w.far, "one two"); took != delay {
			t.Errorf("the bytes took %v, want the link's delay", took)
		}
		w.write(w.far, "back")
		w.expect(w.near, "back")
	})
}

func TestConnection_HalfClose_EndsOneDirection(t *testing.T) {
	withPair(t, func(w *pair) {
		w.write(w.near, "last")
		_ = w.near.(interface{ CloseWrite() error }).CloseWrite()
		w.expect(w.far, "last")
		w.expectEnd(w.far, io.EOF)
		w.write(w.far, "answer")
		w.expect(w.near, "answer")
		if _, err := w.near.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("error %v of a write after a half-close, want EPIPE", err)
		}
	})
}

func TestConnection_CloseWithUnreadBytes_Resets(t *testing.T) {
	withPair(t, func(w *pair) {
		w.write(w.near, "unread")
		time.Sleep(2 * delay)
		w.far.Close()
		w.expectEnd(w.near, syscall.ECONNRESET)
	})
}

func TestConnection_BytesForAClosedEnd_AreReset(t *testing.T) {
	withPair(t, func(w *pair) {
		w.far.Close()
		w.expectEnd(w.near, io.EOF)
		w.write(w.near, "late")
		time.Sleep(3 * delay)
		if _, err := w.near.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("error %v of a write to a closed end, want ECONNRESET", err)
		}
	})
}

func TestConnection_Deadlines_EndReads(t *testing.T) {
	withPair(t, func(w *pair) {
		_ = w.near.SetReadDeadline(time.Now().Add(time.Second))
		if took := w.expectEnd(w.near, os.ErrDeadlineExceeded); took != time.Second {
			t.Errorf("the read ended after %v, want 1s", took)
		}
		_ = w.near.SetReadDeadline(time.Time{})
		_ = time.AfterFunc(time.Second, func() { _ = w.near.SetDeadline(time.Unix(1, 0)) })
		if took := w.expectEnd(w.near, os.ErrDeadlineExceeded); took != time.Second {
			t.Errorf("the read ended after %v, want 1s", took)
		}
	})
}

func TestConnection_FullWindow_BlocksTheWriter(t *testing.T) {
	withPair(t, func(w *pair) {
		sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		_ = w.near.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := w.near.Write(sent)
		if !errors.Is(err, os.ErrDeadlineExceeded) || n >= len(sent) {
			t.Fatalf("wrote %d bytes, %v", n, err)
		}
		_ = w.near.SetWriteDeadline(time.Time{})
		go func() {
			_, _ = w.near.Write(sent[n:])
			w.near.Close()
		}()
		got, err := io.ReadAll(w.far)
		if err != nil || !bytes.Equal(got, sent) {
			t.Errorf("read %d bytes, %v", len(got), err)
		}
	})
}

func TestConnection_Idle_OnlyOpenAndWithoutBytes(t *testing.T) {
	withPair(t, func(w *pair) {
		idle := func() bool { return w.near.(interface{ Idle() bool }).Idle() }
		if !idle() {
			t.Error("an open connection with nothing to read is not idle")
		}
		w.write(w.far, "x")
		time.Sleep(2 * delay)
		if idle() {
			t.Error("a connection with a byte to read is idle")
		}
		w.expect(w.near, "x")
		w.far.Close()
		time.Sleep(2 * delay)
		if idle() {
			t.Error("a connection that the peer has closed is idle")
		}
	})
}
