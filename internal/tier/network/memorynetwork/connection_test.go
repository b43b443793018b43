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
	withPair(t, func(p *pair) {
		p.write(p.near, "one ")
		p.write(p.near, "two")
		if took := p.expect(p.far, "one two"); took != delay {
			t.Errorf("the bytes took %v, want the link's delay", took)
		}
		p.write(p.far, "back")
		p.expect(p.near, "back")
	})
}

func TestConnection_HalfClose_EndsOneDirection(t *testing.T) {
	withPair(t, func(p *pair) {
		p.write(p.near, "last")
		_ = p.near.(interface{ CloseWrite() error }).CloseWrite()
		p.expect(p.far, "last")
		p.expectEnd(p.far, io.EOF)
		p.write(p.far, "answer")
		p.expect(p.near, "answer")
		if _, err := p.near.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("error %v of a write after a half-close, want EPIPE", err)
		}
	})
}

func TestConnection_CloseWithUnreadBytes_Resets(t *testing.T) {
	withPair(t, func(p *pair) {
		p.write(p.near, "unread")
		time.Sleep(2 * delay)
		p.far.Close()
		p.expectEnd(p.near, syscall.ECONNRESET)
	})
}

func TestConnection_BytesForAClosedEnd_AreReset(t *testing.T) {
	withPair(t, func(p *pair) {
		p.far.Close()
		p.expectEnd(p.near, io.EOF)
		p.write(p.near, "late")
		time.Sleep(3 * delay)
		if _, err := p.near.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("error %v of a write to a closed end, want ECONNRESET", err)
		}
	})
}

func TestConnection_Deadlines_EndReads(t *testing.T) {
	withPair(t, func(p *pair) {
		_ = p.near.SetReadDeadline(time.Now().Add(time.Second))
		if took := p.expectEnd(p.near, os.ErrDeadlineExceeded); took != time.Second {
			t.Errorf("the read ended after %v, want 1s", took)
		}
		_ = p.near.SetReadDeadline(time.Time{})
		_ = time.AfterFunc(time.Second, func() { _ = p.near.SetDeadline(time.Unix(1, 0)) })
		if took := p.expectEnd(p.near, os.ErrDeadlineExceeded); took != time.Second {
			t.Errorf("the read ended after %v, want 1s", took)
		}
	})
}

func TestConnection_FullWindow_BlocksTheWriter(t *testing.T) {
	withPair(t, func(p *pair) {
		sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		_ = p.near.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := p.near.Write(sent)
		if !errors.Is(err, os.ErrDeadlineExceeded) || n >= len(sent) {
			t.Fatalf("wrote %d bytes, %v", n, err)
		}
		_ = p.near.SetWriteDeadline(time.Time{})
		go func() {
			_, _ = p.near.Write(sent[n:])
			p.near.Close()
		}()
		got, err := io.ReadAll(p.far)
		if err != nil || !bytes.Equal(got, sent) {
			t.Errorf("read %d bytes, %v", len(got), err)
		}
	})
}

func TestConnection_Idle_OnlyOpenAndWithoutBytes(t *testing.T) {
	withPair(t, func(p *pair) {
		idle := func() bool { return p.near.(interface{ Idle() bool }).Idle() }
		if !idle() {
			t.Error("an open connection with nothing to read is not idle")
		}
		p.write(p.far, "x")
		time.Sleep(2 * delay)
		if idle() {
			t.Error("a connection with a byte to read is idle")
		}
		p.expect(p.near, "x")
		p.far.Close()
		time.Sleep(2 * delay)
		if idle() {
			t.Error("a connection that the peer has closed is idle")
		}
	})
}
