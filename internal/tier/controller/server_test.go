package controller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// pipeListener is a net.Listener whose connections a test supplies.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn, 1), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestServeUntil_RequestInFlight_CompletesWithinTheShutdown(t *testing.T) {
	cases := []struct {
		name      string
		takes     time.Duration // how long the request still takes once ctx is canceled
		completes bool
	}{
		{"a short one gets its response", shutdownTimeout / 2, true},
		{"a long one is aborted", 2 * shutdownTimeout, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				listener, client := newPipeListener(), make(chan error, 1)
				server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					cancel()
					time.Sleep(test.takes)
					w.WriteHeader(http.StatusNoContent)
				})}
				ours, theirs := net.Pipe()
				listener.connections <- theirs
				go func() {
					defer ours.Close()
					_, _ = io.WriteString(ours, "GET / HTTP/1.1\r\nHost: core\r\n\r\n")
					_, err := http.ReadResponse(bufio.NewReader(ours), nil)
					client <- err
				}()
				began := time.Now()
				if err := serveUntil(ctx, server, listener); err != nil {
					t.Error(err)
				}
				if took, want := time.Since(began), min(test.takes, shutdownTimeout); took < want {
					t.Errorf("serveUntil returned after %v, want %v at least, since a request was in flight", took, want)
				}
				if err := <-client; (err == nil) != test.completes {
					t.Errorf("the client's error is %v", err)
				}
				time.Sleep(test.takes) // until the handler has ended, too
			})
		})
	}
}

// countingFleet counts the calls of Members, which the running loops of a controller make all the time.
type countingFleet struct {
	fleet
	calls atomic.Int64
}

func (f *countingFleet) Members() []membership.Member {
	f.calls.Add(1)
	return f.fleet.Members()
}

func TestRun_DiskDamaged_LoopsHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// given a controller that leads its group,
		disk, members := memorydisk.New(), &countingFleet{}
		members.set(controllerMember("core-1", selfID, selfAddress, "10.0.0.1:8144"))
		running := newFixture(t, disk, func(options *Options) { options.Fleet = members })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ended := make(chan error, 1)
		go func() { ended <- running.Run(ctx) }()
		for !running.group.Status().IsLeader || members.calls.Load() == 0 {
			time.Sleep(reconcileInterval)
		}
		// when its disk fails and turns out to be damaged,
		disk.InjectFaults(func(kind memorydisk.Operation, _ string) error {
			if kind == memorydisk.Write {
				return syscall.EIO
			}
			return nil
		})
		names, err := disk.List()
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if err := disk.Corrupt(name, 24); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := running.group.Propose(ctx, Command{}); err == nil {
			t.Error("a command was acknowledged though it was not written to disk")
		}
		// then Run returns that error, and all loops have ended, though the context hasn't.
		if err := <-ended; !errors.Is(err, storage.ErrCorrupt) {
			t.Errorf("Run returns error %v, want storage.ErrCorrupt", err)
		}
		calls := members.calls.Load()
		time.Sleep(time.Minute)
		if now := members.calls.Load(); now != calls {
			t.Errorf("Members was called %d times after Run had returned", now-calls)
		}
	})
}
