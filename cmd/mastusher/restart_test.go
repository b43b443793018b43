package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/standin"
	"mastusher/internal/relay/wiretest"
)

// deaf is an endpoint whose connections never come up: nobody takes them out of its queue, which is full.
func deaf(t *testing.T) (address string, end func()) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address = fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	var held []net.Conn
	for {
		conn, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
		if err != nil {
			break // the queue is full
		}
		held = append(held, conn)
	}
	var once sync.Once
	end = func() {
		once.Do(func() {
			_ = syscall.Close(fd)
			for _, c := range held {
				_ = c.Close()
			}
		})
	}
	t.Cleanup(end)
	return address, end
}

// begins counts the lines of a relay's log that tell of an attempt.
type begins struct {
	mu     sync.Mutex
	ids    map[string]bool
	enough chan struct{}
	want   int
}

func (b *begins) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(string(p)) {
		if _, id, ok := strings.Cut(line, `msg="route step" id=`); ok {
			id, _, _ = strings.Cut(id, " ")
			if b.ids[id] = true; len(b.ids) == b.want {
				close(b.enough)
			}
		}
	}
	return len(p), nil
}

const orders = `"limits": {"disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000, "machine_types": ["club-sites"], "localities": ["a"],
  "allowed": {"max_attempts": 6, "cancel": true, "max_open": 100, "connect_timeout": 60000000}, "family_info": {"workers": 8}, "lanes": [
  {"name": "order", "effect": "side_effect", "aim": 60000000, "deadline": 90000000, "worth": 1},
  {"name": "call", "effect": "token", "group": "all", "memory_span": 300000, "aim": 60000000, "deadline": 90000000, "worth": 1},
  {"name": "board", "effect": "pure", "aim": 60000000, "deadline": 90000000, "worth": 1}]}`

// TestServe_Restarted_UntriedMessagesAreTried: what a restart finds taken on and untried is still tried, whatever its class. The relay ends while its calls' connections
// are coming up and more messages wait for a slot, and discovery is down when it returns. A call whose first byte was never written is no
// attempt: a message that must not run twice was given up for it, and so was a keyed one past its window.
func TestServe_Restarted_UntriedMessagesAreTried(t *testing.T) {
	for _, how := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		t.Run(how.String(), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			endpoint, open := deaf(t)
			front, err := standin.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			nowhere, err := standin.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			state, file := filepath.Join(dir, "state"), filepath.Join(dir, "config.json")
			text := fmt.Sprintf(`{"name": "t", "listen": %q, "discovery": %q, "state": %q, "known": {"index": 1, "snapshot": true, "endpoints": [
				{"name": "s-0", "address": %q, "zone": "a", "type": "club-sites", "group": 0, "status": "ready"}]}, %s}`, front, nowhere, state, endpoint, orders)
			if err = os.Mkdir(state, 0o700); err != nil {
				t.Fatal(err)
			}
			if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			const each = 10
			began := &begins{ids: map[string]bool{}, enough: make(chan struct{}), want: 6} // as many as one partner has slots
			d := &daemon{address: front}
			d.Cmd = exec.Command(os.Args[0], "serve", "--config", file, "--log-level", "debug")
			d.Env, d.Stderr = append(os.Environ(), "MASTUSHER_TEST_RUN=1"), began
			if err = d.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = d.Process.Kill(); _ = d.Wait() })
			if !standin.WaitUntilServing(t.Context(), front) {
				t.Fatal("the relay does not come up")
			}
			var want []string
			client := standin.NewClient(front)
			for _, class := range []string{"order", "call", "board"} {
				for i := range each {
					m := &standin.Message{ID: fmt.Sprint(class, "-", i), Key: "k", Class: class, Timeout: 90 * time.Second, Body: "b"}
					if status, body := client.Send(t.Context(), m); status != 202 {
						t.Fatalf("%s: status %d: %s", m.ID, status, body)
					}
					want = append(want, m.ID)
				}
			}
			client.Close()
			select {
			case <-began.enough:
			case <-time.After(20 * time.Second):
				t.Fatalf("attempts were decided for %v only", began.ids)
			}
			_ = d.Process.Signal(how)
			_ = d.Wait()
			open()
			l, err := net.Listen("tcp", endpoint)
			if err != nil {
				t.Fatal(err)
			}
			calls := make(chan string, 3*len(want))
			s := httpwire.NewServer(standin.Limits(), func(q *httpwire.Request) httpwire.Answer {
				calls <- q.Header.Get("X-Request-Id")
				return httpwire.Answer{Status: 200}
			})
			go func() { _ = s.Serve(l) }()
			t.Cleanup(func() { _ = l.Close(); s.Close(time.Second) })
			d.start(t, file)
			var got []string
			for late := time.After(30 * time.Second); len(got) < len(want); {
				select {
				case id := <-calls:
					got = append(got, id)
				case <-late:
					t.Fatalf("only %d of %d were tried: %v", len(got), len(want), sorted(got))
				}
			}
			if dd := cmp.Diff(sorted(want), sorted(got)); dd != "" {
				t.Errorf("calls (-want +got)\n%s", dd)
			}
		})
	}
}

// TestServe_SignalWhileStarting: SIGHUP that comes while the relay starts is no reason to die, and SIGTERM ends it as at any other time. Its
// configuration is a pipe: it starts for as long as the test likes.
func TestServe_SignalWhileStarting(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(s.String(), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			front, err := standin.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			file := filepath.Join(dir, "config.json")
			if err = syscall.Mkfifo(file, 0o600); err != nil {
				t.Fatal(err)
			}
			d := &daemon{address: front}
			d.launch(t, file)
			pipe, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the relay reads
			if err != nil {
				t.Fatal(err)
			}
			if err = os.Remove(file); err == nil { // what it reads after this is another pipe
				err = syscall.Mkfifo(file, 0o600)
			}
			if err == nil {
				err = d.Process.Signal(s)
			}
			if err != nil {
				t.Fatal(err)
			}
			text := strings.NewReplacer("STATE", t.TempDir(), "127.0.0.1:1", front).Replace(text)
			if _, err = pipe.WriteString(text); err != nil {
				t.Fatalf("the relay has ended: %v", err)
			}
			_ = pipe.Close()
			if s == syscall.SIGTERM {
				if err = d.Wait(); err != nil {
					t.Errorf("it ends with %v", err)
				}
				return
			}
			if !standin.WaitUntilServing(t.Context(), front) {
				t.Fatal("it does not serve")
			}
			again, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once it reads its configuration once more
			if err != nil {
				t.Fatal(err)
			}
			_ = again.Close()
		})
	}
}

// TestServe_TerminatedAmidRequests_OneAnswerEach: requests that come in every order with SIGTERM. Each gets one answer, or an end with nothing of it kept, and no end is
// a reset: not that of a connection which rests until the relay ends it, nor of one whose client goes on sending.
func TestServe_TerminatedAmidRequests_OneAnswerEach(t *testing.T) {
	l := wiretest.Listen(t)
	address := l.Addr().String()
	_ = l.Close() // the relay takes its place
	dir := t.TempDir()
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, []byte(strings.NewReplacer("STATE", dir, "127.0.0.1:1", address).Replace(text)), 0o600); err != nil {
		t.Fatal(err)
	}
	d := &daemon{address: address}
	lines := make(told, 9)
	d.Cmd = exec.Command(os.Args[0], "serve", "--config", file)
	d.Env, d.Stderr = append(os.Environ(), "MASTUSHER_TEST_RUN=1"), lines
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Process.Kill(); _ = d.Wait() })
	<-lines // "relay serving"
	rests, half, sends := wiretest.Dial(t, address), wiretest.Dial(t, address), wiretest.Dial(t, address)
	for _, c := range []net.Conn{rests, half, sends} {
		wiretest.Run(t, c, "testdata/up.txt")
	}
	wiretest.Run(t, half, "testdata/half-begun.txt")
	_ = d.Process.Signal(syscall.SIGTERM)
	<-lines                               // "relay draining"
	_ = d.Process.Signal(syscall.SIGTERM) // a second one changes nothing
	wiretest.Run(t, half, "testdata/half-ended.txt")
	wiretest.Run(t, sends, "testdata/draining.txt")
	wiretest.Run(t, wiretest.Dial(t, address), "testdata/draining.txt")
	wiretest.Run(t, rests, "testdata/ended.txt")
	if err := d.Wait(); err != nil {
		t.Errorf("the relay ends with %v", err)
	}
	var dial net.Dialer
	if conn, err := dial.DialContext(context.Background(), "tcp", address); err == nil {
		_ = conn.Close()
		t.Error("somebody still listens")
	}
}
