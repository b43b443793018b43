package memorynetwork_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/network/memorynetwork"
)

const (
	delay   = 5 * time.Millisecond
	address = "10.0.0.2:80"
	// lingering is how long the library's goroutines may outlive their connections.
	lingering = 10 * time.Second
)

// pair is two machines with a connection from the first to the second.
type pair struct {
	t           *testing.T
	network     *memorynetwork.Network
	here, there *memorynetwork.Machine
	from, to    *memorynetwork.Process
	listener    net.Listener
	near, far   net.Conn
}

// withPair runs a test in virtual time.
func withPair(t *testing.T, run func(w *pair)) {
	synctest.Test(t, func(t *testing.T) {
		w := &pair{t: t, network: memorynetwork.New(memorynetwork.Options{Delay: delay})}
		w.here, w.there = w.network.Machine("10.0.0.1"), w.network.Machine("10.0.0.2")
		w.from, w.to = w.here.Start(), w.there.Start()
		w.listen()
		w.near, w.far = w.connect()
		run(w)
		w.from.Kill()
		w.to.Kill()
		time.Sleep(lingering)
	})
}

func (w *pair) listen() {
	w.t.Helper()
	var err error
	if w.listener, err = w.to.Listen(w.t.Context(), new(net.ListenConfig), "tcp4", address); err != nil {
		w.t.Fatal(err)
	}
}

// linkDialer times a silent peer out after 3 s.
func linkDialer() *net.Dialer {
	return &net.Dialer{Timeout: 500 * time.Millisecond,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
}

func (w *pair) dial() (net.Conn, error) {
	return w.from.Dial(w.t.Context(), linkDialer(), "tcp4", address)
}

func (w *pair) connect() (near, far net.Conn) {
	w.t.Helper()
	near, err := w.dial()
	if err != nil {
		w.t.Fatal(err)
	}
	if far, err = w.listener.Accept(); err != nil {
		w.t.Fatal(err)
	}
	return near, far
}

func (w *pair) write(to net.Conn, text string) {
	w.t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		w.t.Fatal(err)
	}
}

// expect reads exactly the text, and returns how long that took.
func (w *pair) expect(from net.Conn, text string) time.Duration {
	w.t.Helper()
	started := time.Now()
	buffer := make([]byte, len(text))
	if _, err := io.ReadFull(from, buffer); err != nil || string(buffer) != text {
		w.t.Fatalf("read %q, %v; want %q", buffer, err, text)
	}
	return time.Since(started)
}

// expectEnd reads until an error, and returns how long that took.
func (w *pair) expectEnd(from net.Conn, want error) time.Duration {
	w.t.Helper()
	started := time.Now()
	if n, err := from.Read(make([]byte, 1)); n != 0 || !errors.Is(err, want) {
		w.t.Fatalf("read %d bytes, %v; want %v", n, err, want)
	}
	return time.Since(started)
}

func TestConnection_Bytes_ArriveInOrderAfterTheDelay(t *testing.T) {
	withPair(t, func(w *pair) {
		w.write(w.near, "one ")
		w.write(w.near, "two")
		if took := w.expect(w.far, "one two"); took != delay {
			t.Errorf("took %v", took)
		}
		w.write(w.far, "back")
		w.expect(w.near, "back")
	})
}

func TestConnection_HalfClose_EndsOneDirection(t *testing.T) {
	withPair(t, func(w *pair) {
		w.write(w.near, "last")
		w.near.(interface{ CloseWrite() error }).CloseWrite()
		w.expect(w.far, "last")
		w.expectEnd(w.far, io.EOF)
		w.write(w.far, "answer")
		w.expect(w.near, "answer")
		if _, err := w.near.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("write after a half-close: %v", err)
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
			t.Errorf("got %v", err)
		}
	})
}

func TestPartition_Short_DelaysBytesUntilItHeals(t *testing.T) {
	withPair(t, func(w *pair) {
		w.network.Partition(w.here, w.there)
		w.write(w.near, "delayed")
		w.write(w.far, "the other way")
		w.expect(w.near, "the other way")
		time.Sleep(time.Second)
		w.network.Heal(w.here, w.there)
		if took := w.expect(w.far, "delayed"); took < delay || took > time.Second {
			t.Errorf("took %v", took)
		}
	})
}

func TestPartition_Long_TimesOutTheConnection(t *testing.T) {
	withPair(t, func(w *pair) {
		w.network.Partition(w.there, w.here)
		if took := w.expectEnd(w.near, syscall.ETIMEDOUT); took != 3*time.Second {
			t.Errorf("took %v", took)
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
			t.Errorf("got %v after %v", err, time.Since(started))
		}
		// The kernel tries again after a second.
		ctx, cancel := context.WithTimeout(w.t.Context(), 5*time.Second)
		defer cancel()
		time.AfterFunc(300*time.Millisecond, func() { w.network.Heal(w.there, w.here) })
		if _, err := w.from.Dial(ctx, new(net.Dialer), "tcp4", address); err != nil {
			t.Errorf("got %v", err)
		}
	})
}

func TestRefuse_ConnectionsAndDials_AreResetAndRefused(t *testing.T) {
	withPair(t, func(w *pair) {
		w.network.Refuse(w.here, w.there)
		w.expectEnd(w.near, syscall.ECONNRESET)
		w.expectEnd(w.far, syscall.ECONNRESET)
		if _, err := w.dial(); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("got %v", err)
		}
		w.network.Heal(w.here, w.there)
		w.connect()
		w.listener.Close()
		if _, err := w.dial(); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("got %v", err)
		}
	})
}

func TestKill_Process_ClosesItsConnections(t *testing.T) {
	withPair(t, func(w *pair) {
		w.to.Kill()
		w.expectEnd(w.near, io.EOF)
		if _, err := w.far.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
			t.Errorf("a process that has ended writes: %v", err)
		}
		if _, err := w.to.Dial(w.t.Context(), linkDialer(), "tcp4", "10.0.0.1:1"); !errors.Is(err, net.ErrClosed) {
			t.Errorf("a process that has ended dials: %v", err)
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
			t.Errorf("took %v", took)
		}
	})
}

func TestPowerOn_WithinTheTimeout_ResetsConnections(t *testing.T) {
	withPair(t, func(w *pair) {
		w.there.PowerOff(w.to)
		time.Sleep(time.Second)
		w.there.PowerOn()
		if took := w.expectEnd(w.near, syscall.ECONNRESET); took != time.Second {
			t.Errorf("took %v", took)
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
			t.Errorf("took %v", took)
		}
		far, _ := w.listener.Accept()
		w.write(far, "hello")
		w.expect(near, "hello")
	})
}

func TestConnection_Deadlines_EndReads(t *testing.T) {
	withPair(t, func(w *pair) {
		w.near.SetReadDeadline(time.Now().Add(time.Second))
		if took := w.expectEnd(w.near, os.ErrDeadlineExceeded); took != time.Second {
			t.Errorf("took %v", took)
		}
		w.near.SetReadDeadline(time.Time{})
		time.AfterFunc(time.Second, func() { w.near.SetDeadline(time.Unix(1, 0)) })
		if took := w.expectEnd(w.near, os.ErrDeadlineExceeded); took != time.Second {
			t.Errorf("took %v", took)
		}
	})
}

func TestConnection_FullWindow_BlocksTheWriter(t *testing.T) {
	withPair(t, func(w *pair) {
		sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
		w.near.SetWriteDeadline(time.Now().Add(time.Second))
		n, err := w.near.Write(sent)
		if !errors.Is(err, os.ErrDeadlineExceeded) || n >= len(sent) {
			t.Fatalf("wrote %d bytes, %v", n, err)
		}
		w.near.SetWriteDeadline(time.Time{})
		go func() {
			w.near.Write(sent[n:])
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
			t.Error("an open connection without bytes isn't idle")
		}
		w.write(w.far, "x")
		time.Sleep(2 * delay)
		if idle() {
			t.Error("idle with a byte to read")
		}
		w.expect(w.near, "x")
		w.far.Close()
		time.Sleep(2 * delay)
		if idle() {
			t.Error("idle after the peer's close")
		}
	})
}

func TestDatagram_Partition_LosesIt(t *testing.T) {
	withPair(t, func(w *pair) {
		here, err := w.from.ListenPacket(&net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7})
		if err != nil {
			t.Fatal(err)
		}
		there, err := w.to.ListenPacket(&net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 7})
		if err != nil {
			t.Fatal(err)
		}
		target := netip.MustParseAddrPort("10.0.0.2:7")
		w.network.Partition(w.here, w.there)
		here.WriteToUDPAddrPort([]byte("lost"), target)
		w.network.Heal(w.here, w.there)
		here.WriteToUDPAddrPort([]byte("found"), target)
		buffer := make([]byte, 10)
		n, from, err := there.ReadFromUDPAddrPort(buffer)
		if err != nil || string(buffer[:n]) != "found" || from != netip.MustParseAddrPort("10.0.0.1:7") {
			t.Errorf("got %q from %v, %v", buffer[:n], from, err)
		}
		time.AfterFunc(time.Second, w.to.Kill)
		if _, _, err := there.ReadFromUDPAddrPort(buffer); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got %v", err)
		}
	})
}

func TestHTTP_ServerAndClient_WorkOverTheNetwork(t *testing.T) {
	withPair(t, func(w *pair) {
		server := &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			io.Copy(response, request.Body)
		})}
		w.near.Close()
		w.far.Close()
		go server.Serve(w.listener)
		transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return w.from.Dial(ctx, new(net.Dialer), network, address)
		}}
		client := &http.Client{Transport: transport}
		for range 3 {
			response, err := client.Post("http://"+address+"/", "text/plain", bytes.NewReader(bytes.Repeat([]byte("x"), 1<<20)))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err != nil || len(body) != 1<<20 {
				t.Fatalf("read %d bytes, %v", len(body), err)
			}
		}
		transport.CloseIdleConnections()
		server.Close()
	})
}
