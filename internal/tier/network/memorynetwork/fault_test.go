package memorynetwork_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

func TestPartition_Short_DelaysBytesUntilItHeals(t *testing.T) {
	withPair(t, func(w *pair) {
		w.network.Partition(w.here, w.there)
		w.write(w.near, "delayed")
		w.write(w.far, "the other way")
		w.expect(w.near, "the other way")
		time.Sleep(time.Second)
		w.network.Heal(w.here, w.there)
		if took := w.expect(w.far, "delayed"); took < delay || took > time.Second {
			t.Errorf("the bytes took %v, want between the link's delay and 1s", took)
		}
	})
}

func TestPartition_Long_TimesOutTheConnection(t *testing.T) {
	withPair(t, func(w *pair) {
		w.network.Partition(w.there, w.here)
		if took := w.expectEnd(w.near, syscall.ETIMEDOUT); took != 3*time.Second {
			t.Errorf("the connection timed out after %v, want 3s", took)
		}
		w.network.Heal(w.there, w.here)
		w.write(w.far, "who is there")
		w.expectEnd(w.far, syscall.ECONNRESET)
	})
}

func TestPartition_Dial_TimesOutOrWaitsForTheHeal(t *testing.T) {
	withPair(t, func(w *pair) {
		w.network.Partition(w.there, w.here)
		started := time.Now()
		if _, err := w.dial(); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(started) != 500*time.Millisecond {
			t.Errorf("the dial failed with %v after %v, want a timeout after 500ms", err, time.Since(started))
		}
		// The kernel retransmits the SYN after a second.
		ctx, cancel := context.WithTimeout(w.t.Context(), 5*time.Second)
		defer cancel()
		time.AfterFunc(300*time.Millisecond, func() { w.network.Heal(w.there, w.here) })
		if _, err := w.from.Dial(ctx, new(net.Dialer), "tcp4", address); err != nil {
			t.Errorf("error %v of a dial while the partition heals, want none", err)
		}
	})
}

func TestRefuse_ConnectionsAndDials_AreResetAndRefused(t *testing.T) {
	withPair(t, func(w *pair) {
		w.network.Refuse(w.here, w.there)
		w.expectEnd(w.near, syscall.ECONNRESET)
		w.expectEnd(w.far, syscall.ECONNRESET)
		if _, err := w.dial(); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("error %v of a refused dial, want ECONNREFUSED", err)
		}
		w.network.Heal(w.here, w.there)
		w.connect()
		w.listener.Close()
		if _, err := w.dial(); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("error %v of a dial without a listener, want ECONNREFUSED", err)
		}
	})
}

func TestKill_Process_ClosesItsConnections(t *testing.T) {
	withPair(t, func(w *pair) {
		w.to.Kill()
		w.expectEnd(w.near, io.EOF)
		if _, err := w.far.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v of a write by a killed process, want ErrClosed", err)
		}
		if _, err := w.to.Dial(w.t.Context(), keepAliveDialer(), "tcp4", "10.0.0.1:1"); !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v of a dial by a killed process, want ErrClosed", err)
		}
		w.to = w.there.Start()
		w.listen()
		w.connect()
	})
}

func TestPowerOff_Peer_TimesOut(t *testing.T) {
	withPair(t, func(w *pair) {
		w.there.PowerOff(w.to)
		if took := w.expectEnd(w.near, syscall.ETIMEDOUT); took != 3*time.Second {
			t.Errorf("the connection timed out after %v, want 3s", took)
		}
	})
}

func TestPowerOn_WithinTheTimeout_ResetsConnections(t *testing.T) {
	withPair(t, func(w *pair) {
		w.there.PowerOff(w.to)
		time.Sleep(time.Second)
		w.there.PowerOn()
		if took := w.expectEnd(w.near, syscall.ECONNRESET); took != time.Second {
			t.Errorf("the connection was reset after %v, want 1s", took)
		}
	})
}

func TestFreeze_Machine_AcceptsBytesAndReadsThemAfterTheThaw(t *testing.T) {
	withPair(t, func(w *pair) {
		w.there.Freeze()
		w.write(w.near, "while it is frozen")
		near, err := w.dial()
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(10*time.Second, w.there.Thaw)
		if took := w.expect(w.far, "while it is frozen"); took != 10*time.Second {
			t.Errorf("the bytes were read after %v, want 10s", took)
		}
		far, _ := w.listener.Accept()
		w.write(far, "hello")
		w.expect(near, "hello")
	})
}
