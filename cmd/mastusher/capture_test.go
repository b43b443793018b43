package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/standin"
)

// TestServe_CapturedOverKill_ReplaysTenTimes: a relay with one silent partner and one that refuses is captured from the middle of its work on, over a
// SIGKILL and a restart; each file replays ten times with the same decisions, and the tools tell of it.
func TestServe_CapturedOverKill_ReplaysTenTimes(t *testing.T) {
	dir := t.TempDir()
	hang := make(chan struct{})
	captures := filepath.Join(dir, "captures")
	d, file, text := stage(t, dir, 4, func(a standin.Arrival) httpwire.Answer {
		switch a.Endpoint {
		case 1:
			<-hang
		case 2:
			return httpwire.Answer{Status: 429, Header: []string{"Retry-After", "0.3"}}
		}
		return httpwire.Answer{Status: 200}
	}, fmt.Sprintf(`"capture": {"dir": %q}`, captures))
	t.Cleanup(func() { close(hang) })
	tool := func(want int, args ...string) string {
		t.Helper()
		var out bytes.Buffer
		if code := run(args, &out, &out); code != want {
			t.Errorf("%v: exit %d, want %d\n%s", args, code, want, out.String())
		}
		return out.String()
	}
	hand := func(from, to int) {
		t.Helper()
		client := standin.NewClient(d.address)
		defer client.Close()
		for i := from; i < to; i++ {
			m := &standin.Message{ID: fmt.Sprint("m-", i), Key: fmt.Sprint("k-", i), Class: "match-event", Partner: i % 4, Timeout: 3 * time.Second, Body: "goal"}
			client.Send(t.Context(), m)
		}
	}
	pid := func() string { return fmt.Sprint(d.Process.Pid) }
	d.start(t, file)
	hand(0, 20) // what has happened by now is only in the state that the capture begins with
	tool(0, "capture", "start", "--config", file, "--pid", pid())
	await := func(n int, id string) []string { // until a message stands in the n-th capture
		t.Helper()
		for range 800 {
			files, _ := capture.Files(captures)
			if len(files) >= n {
				found := false
				_ = reading(files[n-1], func(r *capture.Reader) error {
					return r.Each(func(record any) error {
						m, ok := record.(*capture.Message)
						found = found || ok && m.ID == id
						return nil
					})
				})
				if id == "" || found {
					return files
				}
			}
			time.Sleep(25 * time.Millisecond)
		}
		t.Fatalf("no capture %d with %q", n, id)
		return nil
	}
	await(1, "")
	hand(20, 40)
	moved, err := standin.NewDiscovery(d.known)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(moved.Close)
	_ = os.WriteFile(file, []byte(strings.Replace(text, d.discovery, moved.Address, 1)), 0o600)
	_ = d.Process.Signal(syscall.SIGHUP)
	hand(40, 60)
	await(1, "m-59")
	_ = d.Process.Kill()
	_ = d.Wait()
	d.start(t, file) // messages are resumed from the journal
	tool(0, "capture", "start", "--config", file, "--pid", pid())
	await(2, "")
	hand(60, 80)
	tool(0, "capture", "stop", "--config", file, "--pid", pid())
	files := await(2, "m-79")
	_ = d.Process.Signal(syscall.SIGTERM)
	_ = d.Wait()
	program := filepath.Join(dir, "mastusher") // the same build each time
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	hasMoved := false
	for _, f := range files {
		for range 10 {
			out, err := exec.Command(program, "replay", f).CombinedOutput()
			if err != nil || !strings.Contains(string(out), "every decision is the same") {
				t.Fatalf("%s: %v\n%s", f, err, out)
			}
			if !strings.Contains(string(out), "so is all that the core did") {
				t.Fatalf("%s: the core is not replayed\n%s", f, out)
			}
			hasMoved = hasMoved || strings.Contains(string(out), "discovery of platform has moved")
		}
	}
	if !hasMoved {
		t.Error("no capture tells that the discovery has moved")
	}
	if out := tool(0, "replay", files[0], "--explain", "m-21"); !strings.Contains(out, "m-21 arrives for destination 1") {
		t.Errorf("the story of m-21 is\n%s", out)
	}
	tool(1, "replay", files[0], "--explain", "nobody")
	if out := tool(0, "replay", files[0], "--against", file); !strings.Contains(out, "0 turns differ") {
		t.Errorf("under the same settings:\n%s", out)
	}
	other := filepath.Join(dir, "other.json")
	_ = os.WriteFile(other, []byte(strings.Replace(text, `"workers": 8`, `"workers": 1`, 1)), 0o600)
	if out := tool(0, "replay", files[0], "--against", other); strings.Contains(out, " 0 turns differ") {
		t.Errorf("with one slot:\n%s", out)
	}
	window := filepath.Join(dir, "window")
	tool(0, "replay", files[0], "--to-test", window, "--from", "100ms", "--for", "1s")
	part, _ := filepath.Glob(filepath.Join(window, "*"))
	if len(part) != 1 {
		t.Fatalf("%v", part)
	}
	tool(0, "replay", part[0])
	tool(0, "replay", files[0], "--until", "200ms")
	if out := tool(0, "capture", "info", files[0], part[0]); strings.Count(out, "relay t") != 2 {
		t.Errorf("info says\n%s", out)
	}
	for _, args := range [][]string{{"replay", file}, {"replay", filepath.Join(dir, "none")}, {"capture", "info", file}} {
		tool(1, args...)
	}
	tool(2, "replay")
	tool(2, "capture", "start", "--config", file)
}
