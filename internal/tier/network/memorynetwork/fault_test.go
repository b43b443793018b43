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
	withPair(t, func(p *pair) {
		p.network.Partition(p.here, p.there)
		p.write(p.near, "delayed")
		p.write(p.far, "the other way")
		p.expect(p.near, "the other way")
		time.Sleep(time.Second)
		p.network.Heal(p.here, p.there)
		if took := p.expect(p.far, "delayed"); took < delay || took > time.Second {
			t.Errorf("the bytes took %v, want between the link's delay and 1s", took)
		}
	})
}

func TestPartition_Long_TimesOutTheConnection(t *testing.T) {
	withPair(t, func(p *pair) {
		p.network.Partition(p.there, p.here)
		if took := p.expectEnd(p.near, syscall.ETIMEDOUT); took != 3*time.Second {
			t.Errorf("the connection timed out after %v, want 3s", took)
		}
		p.network.Heal(p.there, p.here)
		p.write(p.far, "who is there")
		p.expectEnd(p.far, syscall.ECONNRESET)
	})
}

func TestPartition_Dial_TimesOutOrWaitsForTheHeal(t *testing.T) {
	withPair(t, func(p *pair) {
		p.network.Partition(p.there, p.here)
		started := time.Now()
		if _, err := p.dial(); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(started) != 500*time.Millisecond {
			t.Errorf("the dial failed with %v after %v, want a timeout after 500ms", err, time.Since(started))
		}
		// The kernel retransmits the SYN after a second.
		ctx, cancel := context.WithTimeout(p.t.Context(), 5*time.Second)
		defer cancel()
		time.AfterFunc(300*time.Millisecond, func() { p.network.Heal(p.there, p.here) })
		if _, err := p.from.Dial(ctx, new(net.Dialer), "tcp4", address); err != nil {
			t.Errorf("error %v of a dial while the partition heals, want none", err)
		}
	})
}

func TestRefuse_ConnectionsAndDials_AreResetAndRefused(t *testing.T) {
	withPair(t, func(p *pair) {
		p.network.Refuse(p.here, p.there)
		p.expectEnd(p.near, syscall.ECONNRESET)
		p.expectEnd(p.far, syscall.ECONNRESET)
		if _, err := p.dial(); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("error %v of a refused dial, want ECONNREFUSED", err)
		}
		p.network.Heal(p.here, p.there)
		p.connect()
		p.listener.Close()
		if _, err := p.dial(); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("error %v of a dial without a listener, want ECONNREFUSED", err)
		}
	})
}

func TestKill_Process_ClosesItsConnections(t *testing.T) {
	withPair(t, func(p *pair) {
		p.to.Kill()
		p.expectEnd(p.near, io.EOF)
		if _, err := p.far.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v of a write by a killed process, want ErrClosed", err)
		}
		if _, err := p.to.Dial(p.t.Context(), keepAliveDialer(), "tcp4", "10.0.0.1:1"); !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v of a dial by a killed process, want ErrClosed", err)
		}
		p.to = p.there.Start()
		p.listen()
		p.connect()
	})
}

func TestPowerOff_Peer_TimesOut(t *testing.T) {
	withPair(t, func(p *pair) {
		p.there.PowerOff(p.to)
		if took := p.expectEnd(p.near, syscall.ETIMEDOUT); took != 3*time.Second {
			t.Errorf("the connection timed out after %v, want 3s", took)
		}
	})
}

func TestPowerOn_WithinTheTimeout_ResetsConnections(t *testing.T) {
	withPair(t, func(p *pair) {
		p.there.PowerOff(p.to)
		time.Sleep(time.Second)
		p.there.PowerOn()
		if took := p.expectEnd(p.near, syscall.ECONNRESET); took != time.Second {
			t.Errorf("the connection was reset after %v, want 1s", took)
		}
	})
}

func TestFreeze_Machine_AcceptsBytesAndReadsThemAfterTheThaw(t *testing.T) {
	withPair(t, func(p *pair) {
		p.there.Freeze()
		p.write(p.near, "while it is frozen")
		near, err := p.dial()
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(10*time.Second, p.there.Thaw)
		if took := p.expect(p.far, "while it is frozen"); took != 10*time.Second {
			t.Errorf("the bytes were read after %v, want 10s", took)
		}
		far, _ := p.listener.Accept()
		p.write(far, "hello")
		p.expect(near, "hello")
	})
}
