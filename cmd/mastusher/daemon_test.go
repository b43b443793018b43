package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/standin"
)

// minimalConfig is the smallest configuration that the relay serves with. STATE must be replaced by a directory.
const minimalConfig = `{"listen": "127.0.0.1:1", "state": "STATE", "discovery": "127.0.0.1:1", "settings": {"peers_total": 1,
  "allowed": {"max_attempts": 6}, "family_info": {"workers": 4}, "lanes": [{"name": "match-event", "deadline": 1000000}]}}`

// TestMain runs the test binary as the relay if MASTUSHER_TEST_RUN is set, so that tests can kill it as a separate process.
func TestMain(m *testing.M) {
	if os.Getenv("MASTUSHER_TEST_RUN") != "" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// writeFile writes a file with permissions for the owner only.
func writeFile(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// runCommandLine runs a command line in this process and returns its output. The exit code must be want.
func runCommandLine(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	if code := run(args, &out, &out); code != want {
		t.Fatalf("%v: exit %d, want %d; it says\n%s", args, code, want, out.String())
	}
	return out.String()
}

// freeUDPAddress returns an unused UDP address on loopback.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	address, err := standin.FreeUDPAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// freeAddress returns an unused TCP address on loopback.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := standin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// daemon is a relay that runs as a separate process.
type daemon struct {
	*exec.Cmd
	address      string
	discovery    string
	endpointList string // the endpoint list in its configuration
}

// start starts the relay and waits until it accepts messages.
func (d *daemon) start(t *testing.T, file string) {
	t.Helper()
	d.launch(t, file)
	d.awaitServing(t)
}

// awaitServing waits until the relay accepts messages.
func (d *daemon) awaitServing(t *testing.T) {
	t.Helper()
	if !standin.WaitUntilServing(t.Context(), d.address) {
		t.Fatal("the relay does not come up")
	}
}

// launch starts the relay without waiting until it accepts messages.
func (d *daemon) launch(t *testing.T, file string) {
	t.Helper()
	d.prepare(file, "--log-format", "json")
	d.Stderr = os.Stderr
	if testing.Verbose() {
		d.Stderr = os.Stdout
	}
	d.run(t)
}

// prepare creates, without starting it, the command that runs the relay with a configuration.
func (d *daemon) prepare(file string, flags ...string) {
	d.Cmd = exec.Command(os.Args[0], append([]string{"serve", "--config", file}, flags...)...)
	d.Env = append(os.Environ(), "MASTUSHER_TEST_RUN=1")
}

// run starts the command. The process is killed at the end of the test.
func (d *daemon) run(t *testing.T) {
	t.Helper()
	if err := d.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.kill)
}

// kill kills the relay and waits until the process has ended.
func (d *daemon) kill() {
	_ = d.Process.Kill()
	_ = d.Wait()
}

// classSettings are settings with one message class.
const classSettings = `"limits": {"disk_mb": 3}, "settings": {"peers_total": 1, "round": 5000, "machine_types": ["club-sites"], "localities": ["a"],
  "allowed": {"max_attempts": 6, "cancel": true, "max_open": 100, "retry_after": true, "max_retry_after": 3000000}, "family_info": {"workers": 8},
  "lanes": [{"name": "match-event", "effect": "token", "group": "all", "memory_span": 60000000, "aim": 30000000, "deadline": 60000000, "worth": 1}]}`

// newTestRelay sets up a relay with n endpoints and a discovery service, without starting it. The keys in more are added to its
// configuration.
func newTestRelay(t *testing.T, dir string, n int, answer func(standin.Arrival) httpwire.Answer, more string) (d *daemon, file, text string) {
	t.Helper()
	endpoints, err := standin.NewEndpoints(n, answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoints.Close)
	discovery, err := standin.NewDiscovery(endpoints.Snapshot("club-sites", "a"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	d = &daemon{address: freeAddress(t), discovery: discovery.Address, endpointList: endpoints.Snapshot("club-sites", "a")}
	file, text = d.writeConfig(t, dir, more+", "+classSettings)
	return d, file, text
}

// writeConfig writes the relay's configuration and state directory into dir. The keys in more are added to addresses and endpoint list.
func (d *daemon) writeConfig(t *testing.T, dir, more string) (file, text string) {
	t.Helper()
	state := filepath.Join(dir, "state")
	text = fmt.Sprintf(`{"name": "t", "listen": %q, "discovery": %q, "state": %q, "known": %s, %s}`, d.address, d.discovery, state, d.endpointList, more)
	file = filepath.Join(dir, "config.json")
	if err := os.MkdirAll(state, 0o700); err != nil {
		t.Fatal(err)
	}
	writeFile(t, file, []byte(text))
	return file, text
}
