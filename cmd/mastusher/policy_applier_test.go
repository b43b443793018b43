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

// TestServe_PolicyChangesPluginSettings checks that a policy changes a plug-in's settings between two messages. The settings must survive
// a reload and a SIGKILL. A reload that the policy forbids must be rejected, and settings that a plug-in fails to start with must cause
// the change to be dropped.
func TestServe_PolicyChangesPluginSettings(t *testing.T) {
	relay := newFleetPluginRelay(t)
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

	writeFile(t, relay.module, wasmtest.Later()) // this version cannot run, so the relay cannot apply other settings
	out := relay.propose(t, 1, `{"format":1,"plugins":{"p":{"settings":"three"}}}`)
	if !strings.Contains(out, "dropped: t: config: key plugins.0: plug-in p") {
		t.Error(out)
	}
	relay.expectSettings(t, `"two"`, "after a change that was dropped")
	writeFile(t, relay.module, wasmtest.Settings("X-Desk"))
	relay.propose(t, 0, `{"format":1}`)
	relay.expectSettings(t, `"one"`, "by the file again")
}

// fleetPluginRelay is a relay that is the only member of its fleet, with a plug-in that sets the header X-Desk to its settings.
type fleetPluginRelay struct {
	*daemon
	file, module, policy string
	calls                chan standin.Arrival // calls that its endpoint received
	messages             int                  // number of messages sent so far
}

// newFleetPluginRelay sets up a relay that can found a fleet, without starting it.
func newFleetPluginRelay(t *testing.T) *fleetPluginRelay {
	t.Helper()
	dir := t.TempDir()
	relay := &fleetPluginRelay{module: filepath.Join(dir, "p.wasm"), policy: filepath.Join(dir, "policy.json"), calls: make(chan standin.Arrival, 100)}
	relay.daemon, relay.file, _ = newTestRelay(t, dir, 1, func(a standin.Arrival) httpwire.Answer {
		relay.calls <- a
		return httpwire.Answer{Status: 200}
	}, fmt.Sprintf(`"plugin_host": {"store": %q}, "plugins": [{"name": "p", "file": %q, "timeout": "60ms", "memory_mb": 1, "config": "one"}],
    "peers": {"fleet": "f", "name": "t", "listen": %q, "voters": ["t"], "lease": "500ms"}`, dir, relay.module, freeUDPAddress(t)))
	return relay
}

// command runs a command line with the relay's configuration, and returns its output.
func (r *fleetPluginRelay) command(t *testing.T, want int, args ...string) string {
	t.Helper()
	return runCommandLine(t, want, append(args, "--config", r.file)...)
}

// propose proposes a policy and waits until the change is over.
func (r *fleetPluginRelay) propose(t *testing.T, want int, document string) string {
	t.Helper()
	writeFile(t, r.policy, []byte(document))
	return r.command(t, want, "policy", "propose", r.policy)
}

// expectSettings submits a message and checks that it is delivered with the settings in its header.
func (r *fleetPluginRelay) expectSettings(t *testing.T, want, when string) {
	t.Helper()
	if got := strings.Join(r.awaitCall(t, r.submit(t)).Header["X-Desk"], ", "); got != want {
		t.Errorf("settings %s: got %s, want %s", when, got, want)
	}
}

// submit sends messages until one is accepted, and returns its ID.
func (r *fleetPluginRelay) submit(t *testing.T) (id string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		r.messages++
		m := &standin.Message{ID: fmt.Sprint("m", r.messages), Key: fmt.Sprint("k", r.messages), Class: "match-event", Timeout: time.Minute, Body: "goal"}
		status, _ := standin.NewClient(r.address).Send(t.Context(), m)
		if status == 202 {
			return m.ID
		}
		if time.Now().After(end) {
			t.Fatalf("no message was accepted; last status %d", status)
		}
	}
}

// awaitCall waits for the call with a message. After a SIGKILL, other messages may be delivered again before it.
func (r *fleetPluginRelay) awaitCall(t *testing.T, id string) standin.Arrival {
	t.Helper()
	for {
		if a := <-r.calls; a.ID == id {
			return a
		}
	}
}
