package hook

import (
	"bytes"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"mastusher/internal/config"
	"mastusher/internal/relay"
)

// build compiles a plug-in with the Go tool chain.
func build(t *testing.T, dir string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "hook.wasm")
	cmd := exec.Command("go", "build", "-buildmode=c-shared", "-o", file, dir)
	cmd.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm", "CGO_ENABLED=0")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return file
}

// lines is a log that tells of each line.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
	ch  chan string
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ch <- string(b)
	return l.buf.Write(b)
}

func load(t *testing.T, file string, out io.Writer) *Hook {
	t.Helper()
	h, err := Load(&config.Hook{Name: "h", File: file, Timeout: time.Second, MemoryMB: 16},
		&config.Limits{HookStart: time.Minute, HookEnds: 4, HookReason: 64}, slog.New(slog.NewTextHandler(out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func TestExample(t *testing.T) {
	out := &lines{ch: make(chan string, 20)}
	h := load(t, build(t, "../../examples/hook"), out)
	if ok, why := h.Inspect("platform", &relay.Message{ID: "a"}); ok || why != "the message is empty" {
		t.Errorf("an empty message: %v, %q", ok, why)
	}
	if ok, why := h.Inspect("platform", &relay.Message{ID: "a", Body: []byte("goal")}); !ok {
		t.Errorf("rejected: %q", why)
	}
	h.Ended("platform", "a", "delivered")
	h.Ended("platform", "b", "given_up")
	if line := <-out.ch; !strings.Contains(line, `\"id\":\"b\"`) {
		t.Errorf("the log says %q", line)
	}
}

// TestFailing: a plug-in that fails is started anew, and the message goes on as if there were none.
func TestFailing(t *testing.T) {
	h := load(t, build(t, "./testdata/guest"), io.Discard)
	for i, id := range []string{"loop", "trap", "hoard"} {
		if ok, why := h.Inspect("platform", &relay.Message{ID: id}); !ok || h.Failures.Load() != uint64(i+1) {
			t.Errorf("%s: taken %v (%s), %d failures", id, ok, why, h.Failures.Load())
		}
		if ok, _ := h.Inspect("platform", &relay.Message{ID: "yes"}); !ok {
			t.Errorf("after %s a good message is rejected", id)
		}
		if ok, why := h.Inspect("platform", &relay.Message{ID: "no"}); ok || why != "rejected by h" {
			t.Errorf("after %s: %v, %q; the plug-in does not work any more", id, ok, why)
		}
	}
	h.restAt = time.Now().Add(time.Hour)
	if ok, _ := h.Inspect("platform", &relay.Message{ID: "no"}); !ok || h.Skipped.Load() != 1 {
		t.Error("a plug-in that rests was asked")
	}
	h.turn <- struct{}{} // somebody else uses it, for longer than a client can wait
	h.timeout = 0
	if ok, _ := h.Inspect("platform", &relay.Message{ID: "no"}); !ok || h.Skipped.Load() != 2 {
		t.Error("a plug-in that is busy was waited for")
	}
	for range 9 {
		h.Ended("platform", "a", "delivered")
	}
	if h.Skipped.Load() == 2 {
		t.Error("ends pile up without bound")
	}
	<-h.turn
}

func TestLoad(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.wasm")
	for text, want := range map[string]string{"": "invalid magic", "\x00asm\x01\x00\x00\x00": "exports no alloc"} {
		_ = os.WriteFile(file, []byte(text), 0o600)
		_, err := Load(&config.Hook{File: file, MemoryMB: 1}, &config.Limits{HookStart: time.Minute}, slog.Default())
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one with %q", text, err, want)
		}
	}
}
