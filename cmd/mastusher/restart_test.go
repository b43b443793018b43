package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
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

// unresponsiveEndpoint listens on an address where connections are never established: its backlog is full, and nothing accepts from it.
func unresponsiveEndpoint(t *testing.T) (address string, end func()) {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(socket, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	address = fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	queued := fillBacklog(address)
	end = sync.OnceFunc(func() {
		_ = syscall.Close(socket)
		for _, conn := range queued {
			_ = conn.Close()
		}
	})
	t.Cleanup(end)
	return address, end
}

// fillBacklog connects to an address until a connection is no longer established.
func fillBacklog(address string) (queued []net.Conn) {
	for {
		conn, err := net.DialTimeout("tcp", address, 300*time.Millisecond)
		if err != nil {
			return queued
		}
		queued = append(queued, conn)
	}
}

// attemptLog collects from a relay's log the messages for which attempts were decided.
type attemptLog struct {
	mu     sync.Mutex
	ids    map[string]bool
	want   int
	enough chan struct{} // closed once there are want messages
}

func newAttemptLog(want int) *attemptLog {
	return &attemptLog{ids: map[string]bool{}, want: want, enough: make(chan struct{})}
}

func (l *attemptLog) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for entry := range strings.Lines(string(text)) {
		_, id, ok := strings.Cut(entry, `msg="route step" id=`)
		if !ok {
			continue
		}
		id, _, _ = strings.Cut(id, " ")
		if l.ids[id] = true; len(l.ids) == l.want {
			close(l.enough)
		}
	}
	return len(text), nil
}

// await waits until attempts were decided for want messages.
func (l *attemptLog) await(t *testing.T) {
	t.Helper()
	select {
	case <-l.enough:
	case <-time.After(20 * time.Second):
		l.mu.Lock()
		defer l.mu.Unlock()
		t.Fatalf("attempts were decided only for messages %v", l.ids)
	}
}

// orderSettings are settings with three classes of messages: one that must not run twice, one that is deduplicated by key, and one that
// may run any number of times.
const orderSettings = `"limits": {"disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000, "machine_types": ["club-sites"], "localities": ["a"],
  "allowed": {"max_attempts": 6, "cancel": true, "max_open": 100, "connect_timeout": 60000000}, "family_info": {"workers": 8}, "lanes": [
  {"name": "order", "effect": "side_effect", "aim": 60000000, "deadline": 90000000, "worth": 1},
  {"name": "call", "effect": "token", "group": "all", "memory_span": 300000, "aim": 60000000, "deadline": 90000000, "worth": 1},
  {"name": "board", "effect": "pure", "aim": 60000000, "deadline": 90000000, "worth": 1}]}`

// TestServe_Restarted_PendingMessagesAreAttempted checks that a restarted relay attempts all messages that were accepted and not yet
// attempted, whatever their class. The relay ends while the connections of its calls are being established and more messages wait for
// a slot, and discovery is down when it restarts. A call whose first byte was never written is not an attempt: counting it as one made
// the relay give up messages that must not run twice, and keyed ones after their deduplication window.
func TestServe_Restarted_PendingMessagesAreAttempted(t *testing.T) {
	for _, signal := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			endpoint, end := unresponsiveEndpoint(t)
			relay := &daemon{address: freeAddress(t), discovery: freeAddress(t), endpointList: fmt.Sprintf(`{"index": 1, "snapshot": true, "endpoints": [
				{"name": "s-0", "address": %q, "zone": "a", "type": "club-sites", "group": 0, "status": "ready"}]}`, endpoint)}
			file, _ := relay.writeConfig(t, t.TempDir(), orderSettings)
			attempts := newAttemptLog(6) // one partner has as many slots
			relay.prepare(file, "--log-level", "debug")
			relay.Stderr = attempts
			relay.run(t)
			relay.awaitServing(t)
			want := submitOrders(t, relay.address)
			attempts.await(t)
			_ = relay.Process.Signal(signal)
			_ = relay.Wait()
			end()

			calls := serveCalls(t, endpoint, 3*len(want))
			relay.start(t, file)
			got := awaitCalls(t, calls, len(want))
			slices.Sort(want)
			slices.Sort(got)
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("calls (-want +got)\n%s", d)
			}
		})
	}
}

// submitOrders sends ten messages of each class, which must be accepted, and returns their IDs.
func submitOrders(t *testing.T, address string) (ids []string) {
	t.Helper()
	client := standin.NewClient(address)
	defer client.Close()
	for _, class := range []string{"order", "call", "board"} {
		for i := range 10 {
			m := &standin.Message{ID: fmt.Sprint(class, "-", i), Key: "k", Class: class, Timeout: 90 * time.Second, Body: "b"}
			if status, body := client.Send(t.Context(), m); status != 202 {
				t.Fatalf("%s: status %d: %s", m.ID, status, body)
			}
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// serveCalls runs an endpoint at an address, and returns a channel of the given capacity with the IDs of the messages that arrive.
func serveCalls(t *testing.T, address string, room int) <-chan string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	calls := make(chan string, room)
	server := httpwire.NewServer(standin.Limits(), func(request *httpwire.Request) httpwire.Answer {
		calls <- request.Header.Get("X-Request-Id")
		return httpwire.Answer{Status: 200}
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close(); server.Close(time.Second) })
	return calls
}

// awaitCalls waits for n calls and returns the IDs of their messages.
func awaitCalls(t *testing.T, calls <-chan string, n int) (ids []string) {
	t.Helper()
	for late := time.After(30 * time.Second); len(ids) < n; {
		select {
		case id := <-calls:
			ids = append(ids, id)
		case <-late:
			t.Fatalf("%d of %d messages were attempted: %v", len(ids), n, ids)
		}
	}
	return ids
}

// TestServe_SignalWhileStarting checks that SIGHUP during the start does not end the relay, and that SIGTERM ends it as at any other
// time. Its configuration is a pipe, so that the test controls how long the start takes.
func TestServe_SignalWhileStarting(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		t.Run(signal.String(), func(t *testing.T) {
			t.Parallel()
			relay := &daemon{address: freeAddress(t)}
			file := filepath.Join(t.TempDir(), "config.json")
			makePipe(t, file)
			relay.launch(t, file)
			pipe := awaitPipeReader(t, file)
			if err := os.Remove(file); err != nil {
				t.Fatal(err)
			}
			makePipe(t, file) // the next time the relay reads its configuration, it opens this second pipe
			if err := relay.Process.Signal(signal); err != nil {
				t.Fatal(err)
			}
			config := strings.NewReplacer("STATE", t.TempDir(), "127.0.0.1:1", relay.address).Replace(minimalConfig)
			if _, err := pipe.WriteString(config); err != nil {
				t.Fatalf("the relay has ended: %v", err)
			}
			_ = pipe.Close()
			if signal == syscall.SIGTERM {
				if err := relay.Wait(); err != nil {
					t.Errorf("the relay ended with %v", err)
				}
				return
			}
			relay.awaitServing(t)
			_ = awaitPipeReader(t, file).Close() // the relay has read its configuration again
		})
	}
}

// makePipe creates a named pipe.
func makePipe(t *testing.T, file string) {
	t.Helper()
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
}

// awaitPipeReader waits until a reader opens a named pipe, and returns the pipe opened for writing.
func awaitPipeReader(t *testing.T, file string) *os.File {
	t.Helper()
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	return pipe
}

// TestServe_TerminatedAmidRequests_OneAnswerEach sends requests before, during and after SIGTERM. Each must get either one complete
// answer or a closed connection without any part of an answer. No connection may be reset, neither an idle one that the relay closes
// nor one whose client goes on sending.
func TestServe_TerminatedAmidRequests_OneAnswerEach(t *testing.T) {
	relay := &daemon{address: freeAddress(t)}
	dir := t.TempDir()
	file := filepath.Join(dir, "config.json")
	writeFile(t, file, []byte(strings.NewReplacer("STATE", dir, "127.0.0.1:1", relay.address).Replace(minimalConfig)))
	logged := make(lifecycleLog, 9)
	relay.prepare(file)
	relay.Stderr = logged
	relay.run(t)
	<-logged // "relay serving"
	resting, half, sending := wiretest.Dial(t, relay.address), wiretest.Dial(t, relay.address), wiretest.Dial(t, relay.address)
	for _, conn := range []net.Conn{resting, half, sending} {
		wiretest.Run(t, conn, "testdata/up.txt")
	}
	wiretest.Run(t, half, "testdata/half-begun.txt")
	_ = relay.Process.Signal(syscall.SIGTERM)
	<-logged                                  // "relay draining"
	_ = relay.Process.Signal(syscall.SIGTERM) // a second signal has no effect
	wiretest.Run(t, half, "testdata/half-ended.txt")
	wiretest.Run(t, sending, "testdata/draining.txt")
	wiretest.Run(t, wiretest.Dial(t, relay.address), "testdata/draining.txt")
	wiretest.Run(t, resting, "testdata/ended.txt")
	if err := relay.Wait(); err != nil {
		t.Errorf("the relay ended with %v", err)
	}
	var dialer net.Dialer
	if conn, err := dialer.DialContext(context.Background(), "tcp", relay.address); err == nil {
		_ = conn.Close()
		t.Error("the relay's address still accepts connections")
	}
}
