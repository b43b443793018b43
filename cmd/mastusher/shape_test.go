package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/plugin/wasmtest"
	"mastusher/internal/relay/standin"
)

// TestServe_PolicyChangesPluginSettings: a policy changes what a plug-in is handed, at one point between messages; that outlasts a reload and
// SIGKILL, a reload that the policy forbids is not taken, and settings that a plug-in can't run with end the change.
func TestServe_PolicyChangesPluginSettings(t *testing.T) {
	dir := t.TempDir()
	module := filepath.Join(dir, "p.wasm")
	write := func(b []byte) {
		if err := os.WriteFile(module, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(wasmtest.Settings("X-Desk"))
	calls := make(chan standin.Arrival, 100)
	d, file, _ := stage(t, dir, 1, func(a standin.Arrival) httpwire.Answer {
		calls <- a
		return httpwire.Answer{Status: 200}
	}, fmt.Sprintf(`"plugin_host": {"store": %q}, "plugins": [{"name": "p", "file": %q, "timeout": "60ms", "memory_mb": 1, "config": "one"}],
    "peers": {"fleet": "f", "name": "t", "listen": %q, "voters": ["t"], "lease": "500ms"}`, dir, module, udp(t)))
	say := func(want int, args ...string) string {
		t.Helper()
		var out bytes.Buffer
		if code := run(append(args, "--config", file), &out, &out); code != want {
			t.Fatalf("%v: exit %d, want %d; it says\n%s", args, code, want, out.String())
		}
		return out.String()
	}
	n := 0
	desk := func() string {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			n++
			m := &standin.Message{ID: fmt.Sprint("m", n), Key: fmt.Sprint("k", n), Class: "match-event", Timeout: time.Minute, Body: "goal"}
			if status, _ := standin.NewClient(d.address).Send(t.Context(), m); status == 202 {
				for {
					if a := <-calls; a.ID == m.ID { // after SIGKILL one may come once more
						return a.Header["X-Desk"][0]
					}
				}
			} else if time.Now().After(end) {
				t.Fatalf("status %d", status)
			}
		}
	}
	expect := func(want, when string) {
		t.Helper()
		if got := desk(); got != want {
			t.Errorf("%s: %s, want %s", when, got, want)
		}
	}
	d.launch(t, file)
	say(0, "fleet", "found")
	expect(`"one"`, "by the relay's file")
	policy := filepath.Join(dir, "policy.json")
	propose := func(want int, doc string) string {
		t.Helper()
		if err := os.WriteFile(policy, []byte(doc), 0o600); err != nil {
			t.Fatal(err)
		}
		return say(want, "policy", "propose", policy)
	}
	propose(0, `{"format":1,"plugins":{"p":{"settings":"two"}}}`)
	expect(`"two"`, "by the policy")
	_ = d.Process.Signal(syscall.SIGHUP)
	expect(`"two"`, "after a reload")
	_ = d.Process.Kill()
	_ = d.Wait()
	d.start(t, file)
	expect(`"two"`, "after SIGKILL")
	if out := say(0, "policy", "check", policy); !strings.Contains(out, "can apply") {
		t.Error(out)
	}
	write(wasmtest.Later()) // the module on disk can't run any more: no relay could take other settings over
	if out := propose(1, `{"format":1,"plugins":{"p":{"settings":"three"}}}`); !strings.Contains(out, "dropped: t: config: key plugins.0: plug-in p") {
		t.Error(out)
	}
	expect(`"two"`, "after a change that was dropped")
	write(wasmtest.Settings("X-Desk"))
	propose(0, `{"format":1}`)
	expect(`"one"`, "by the file again")
}
