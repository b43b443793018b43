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

// world is two machines with a connection from the first to the second.
type world struct {
	t           *testing.T
	network     *memorynetwork.Network
	here, there *memorynetwork.Machine
	from, to    *memorynetwork.Process
	listener    net.Listener
	near, far   net.Conn
}

// inWorld runs a story in virtual time.
func inWorld(t *testing.T, story func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, network: memorynetwork.New(memorynetwork.Options{Delay: delay})}
		w.here, w.there = w.network.Machine("10.0.0.1"), w.network.Machine("10.0.0.2")
		w.from, w.to = w.here.Start(), w.there.Start()
		w.listen()
		w.near, w.far = w.connect()
		story(w)
		w.from.Kill()
		w.to.Kill()
		time.Sleep(lingering)
	})
}

func (w *world) listen() {
	w.t.Helper()
	var err error
	if w.listener, err = w.to.Listen(w.t.Context(), new(net.ListenConfig), "tcp4", address); err != nil {
		w.t.Fatal(err)
	}
}

// linkDialer notices a peer that is silent for 3 s.
func linkDialer() *net.Dialer {
	return &net.Dialer{Timeout: 500 * time.Millisecond,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
}

func (w *world) dial() (net.Conn, error) {
	return w.from.Dial(w.t.Context(), linkDialer(), "tcp4", address)
}

func (w *world) connect() (near, far net.Conn) {
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

func (w *world) write(to net.Conn, text string) {
	w.t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		w.t.Fatal(err)
	}
}

// expect reads exactly the text, and returns how long that took.
func (w *world) expect(from net.Conn, text string) time.Duration {
	w.t.Helper()
	began := time.Now()
	buffer := make([]byte, len(text))
	if _, err := io.ReadFull(from, buffer); err != nil || string(buffer) != text {
		w.t.Fatalf("read %q, %v; want %q", buffer, err, text)
	}
	return time.Since(began)
}

// expectEnd reads until an error, and returns how long that took.
func (w *world) expectEnd(from net.Conn, want error) time.Duration {
	w.t.Helper()
	began := time.Now()
	if n, err := from.Read(make([]byte, 1)); n != 0 || !errors.Is(err, want) {
		w.t.Fatalf("read %d bytes, %v; want %v", n, err, want)
	}
	return time.Since(began)
}

func TestBytesArriveInOrderAfterTheDelay(t *testing.T) {
	inWorld(t, func(w *world) {
		w.write(w.near, "one ")
		w.write(w.near, "two")
		if took := w.expect(w.far, "one two"); took != delay {
			t.Errorf("took %v", took)
		}
		w.write(w.far, "back")
		w.expect(w.near, "back")
	})
}

func TestAHalfCloseEndsOneDirection(t *testing.T) {
	inWorld(t, func(w *world) {
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

func TestACloseWithUnreadBytesResets(t *testing.T) {
	inWorld(t, func(w *world) {
		w.write(w.near, "unread")
		time.Sleep(2 * delay)
		w.far.Close()
		w.expectEnd(w.near, syscall.ECONNRESET)
	})
}

func TestBytesForAClosedEndAreAnsweredByAReset(t *testing.T) {
	inWorld(t, func(w *world) {
		w.far.Close()
		w.expectEnd(w.near, io.EOF)
		w.write(w.near, "late")
		time.Sleep(3 * delay)
		if _, err := w.near.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("got %v", err)
		}
	})
}

func TestACutHoldsBytesUntilTheLinkCarries(t *testing.T) {
	inWorld(t, func(w *world) {
		w.network.Partition(w.here, w.there)
		w.write(w.near, "held")
		w.write(w.far, "the other way")
		w.expect(w.near, "the other way")
		time.Sleep(time.Second)
		w.network.Heal(w.here, w.there)
		if took := w.expect(w.far, "held"); took < delay || took > time.Second {
			t.Errorf("took %v", took)
		}
	})
}

func TestALongCutEndsTheConnectionWithoutAWord(t *testing.T) {
	inWorld(t, func(w *world) {
		w.network.Partition(w.there, w.here)
		if took := w.expectEnd(w.near, syscall.ETIMEDOUT); took != 3*time.Second {
			t.Errorf("took %v", took)
		}
		w.network.Heal(w.there, w.here)
		w.write(w.far, "who is there")
		w.expectEnd(w.far, syscall.ECONNRESET)
	})
}

func TestDialsIntoACutGetNoAnswer(t *testing.T) {
	inWorld(t, func(w *world) {
		w.network.Partition(w.there, w.here)
		began := time.Now()
		if _, err := w.dial(); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) != 500*time.Millisecond {
			t.Errorf("got %v after %v", err, time.Since(began))
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

func TestRefusalsAndResets(t *testing.T) {
	inWorld(t, func(w *world) {
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

func TestAKilledProcessEndsItsConnections(t *testing.T) {
	inWorld(t, func(w *world) {
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

func TestALossOfPowerIsSilent(t *testing.T) {
	inWorld(t, func(w *world) {
		w.there.PowerOff(w.to)
		if took := w.expectEnd(w.near, syscall.ETIMEDOUT); took != 3*time.Second {
			t.Errorf("took %v", took)
		}
	})
}

func TestAMachineThatIsBackSoonKnowsNoConnections(t *testing.T) {
	inWorld(t, func(w *world) {
		w.there.PowerOff(w.to)
		time.Sleep(time.Second)
		w.there.PowerOn()
		if took := w.expectEnd(w.near, syscall.ECONNRESET); took != time.Second {
			t.Errorf("took %v", took)
		}
	})
}

func TestAFrozenMachineTakesBytesAndGivesNone(t *testing.T) {
	inWorld(t, func(w *world) {
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

func TestDeadlines(t *testing.T) {
	inWorld(t, func(w *world) {
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

func TestAWriterWaitsForItsReader(t *testing.T) {
	inWorld(t, func(w *world) {
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

func TestQuiet(t *testing.T) {
	inWorld(t, func(w *world) {
		quiet := func() bool { return w.near.(interface{ Idle() bool }).Idle() }
		if !quiet() {
			t.Error("an idle connection isn't quiet")
		}
		w.write(w.far, "x")
		time.Sleep(2 * delay)
		if quiet() {
			t.Error("quiet with a byte to read")
		}
		w.expect(w.near, "x")
		w.far.Close()
		time.Sleep(2 * delay)
		if quiet() {
			t.Error("quiet after the peer's close")
		}
	})
}

func TestDatagrams(t *testing.T) {
	inWorld(t, func(w *world) {
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

func TestTheLibrarysServerAndClient(t *testing.T) {
	inWorld(t, func(w *world) {
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
