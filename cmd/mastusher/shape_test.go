package main

import (
	"fmt"
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
	relay := stageGoverned(t)
	writeFile(t, relay.module, wasmtest.Settings("X-Desk"))
	relay.launch(t, relay.file)
	relay.command(t, 0, "fleet", "found")
	relay.expectSettings(t, `"one"`, "by the relay's file")

	relay.propose(t, 0, `{"format":1,"plugins":{"p":{"settings":"two"}}}`)
	relay.expectSettings(t, `"two"`, "by the policy")
	_ = relay.Process.Signal(syscall.SIGHUP)
	relay.expectSettings(t, `"two"`, "after a reload")
	relay.kill()
	relay.start(t, relay.file)
	relay.expectSettings(t, `"two"`, "after SIGKILL")
	if out := relay.command(t, 0, "policy", "check", relay.policy); !strings.Contains(out, "can apply") {
		t.Error(out)
	}

	writeFile(t, relay.module, wasmtest.Later()) // the module on disk can't run any more: no relay could take other settings over
	out := relay.propose(t, 1, `{"format":1,"plugins":{"p":{"settings":"three"}}}`)
	if !strings.Contains(out, "dropped: t: config: key plugins.0: plug-in p") {
		t.Error(out)
	}
	relay.expectSettings(t, `"two"`, "after a change that was dropped")
	writeFile(t, relay.module, wasmtest.Settings("X-Desk"))
	relay.propose(t, 0, `{"format":1}`)
	relay.expectSettings(t, `"one"`, "by the file again")
}

// governedRelay is a relay that is a fleet of its own, with a plug-in that sets the header X-Desk to its settings.
type governedRelay struct {
	*daemon
	file, module, policy string
	calls                chan standin.Arrival // to its endpoint
	messages             int                  // handed in so far
}

// stageGoverned sets up a relay that is to found a fleet. It is not started yet.
func stageGoverned(t *testing.T) *governedRelay {
	t.Helper()
	dir := t.TempDir()
	relay := &governedRelay{module: filepath.Join(dir, "p.wasm"), policy: filepath.Join(dir, "policy.json"), calls: make(chan standin.Arrival, 100)}
	relay.daemon, relay.file, _ = stage(t, dir, 1, func(a standin.Arrival) httpwire.Answer {
		relay.calls <- a
		return httpwire.Answer{Status: 200}
	}, fmt.Sprintf(`"plugin_host": {"store": %q}, "plugins": [{"name": "p", "file": %q, "timeout": "60ms", "memory_mb": 1, "config": "one"}],
    "peers": {"fleet": "f", "name": "t", "listen": %q, "voters": ["t"], "lease": "500ms"}`, dir, relay.module, freeUDPAddress(t)))
	return relay
}

// command runs a command line with the relay's configuration, and returns what it prints.
func (r *governedRelay) command(t *testing.T, want int, args ...string) string {
	t.Helper()
	return runCommandLine(t, want, append(args, "--config", r.file)...)
}

// propose proposes a policy and waits for its end.
func (r *governedRelay) propose(t *testing.T, want int, document string) string {
	t.Helper()
	writeFile(t, r.policy, []byte(document))
	return r.command(t, want, "policy", "propose", r.policy)
}

// expectSettings hands in messages until one is accepted, which must be sent with settings in its header.
func (r *governedRelay) expectSettings(t *testing.T, want, when string) {
	t.Helper()
	if got := strings.Join(r.awaitCall(t, r.submit(t)).Header["X-Desk"], ", "); got != want {
		t.Errorf("%s: %s, want %s", when, got, want)
	}
}

// submit hands in messages until one is accepted, and returns its id.
func (r *governedRelay) submit(t *testing.T) (id string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		r.messages++
		m := &standin.Message{ID: fmt.Sprint("m", r.messages), Key: fmt.Sprint("k", r.messages), Class: "match-event", Timeout: time.Minute, Body: "goal"}
		status, _ := standin.NewClient(r.address).Send(t.Context(), m)
		if status == 202 {
			return m.ID
		}
		if time.Now().After(end) {
			t.Fatalf("status %d", status)
		}
	}
}

// awaitCall waits for the call that carries a message. After SIGKILL others may come once more before it.
func (r *governedRelay) awaitCall(t *testing.T, id string) standin.Arrival {
	t.Helper()
	for {
		if a := <-r.calls; a.ID == id {
			return a
		}
	}
}
