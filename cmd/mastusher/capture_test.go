package main

import (
	"fmt"
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

// TestServe_CapturedOverKill_ReplaysTenTimes captures a relay in mid-operation, with one partner that never answers and one that answers
// 429, across a SIGKILL and a restart. Each capture must replay ten times with identical decisions, and the capture commands must read it.
func TestServe_CapturedOverKill_ReplaysTenTimes(t *testing.T) {
	relay := newCapturedRelay(t)
	files := relay.captureAcrossKill(t)
	replayTenTimes(t, files)
	relay.checkReplayFlags(t, files[0])
	window := relay.cutWindow(t, files[0])
	if out := runCommandLine(t, 0, "capture", "info", files[0], window); strings.Count(out, "relay t") != 2 {
		t.Errorf("capture info prints\n%s", out)
	}
	for _, args := range [][]string{{"replay", relay.file}, {"replay", filepath.Join(relay.dir, "none")}, {"capture", "info", relay.file}} {
		runCommandLine(t, 1, args...)
	}
	runCommandLine(t, 2, "replay")
	runCommandLine(t, 2, "capture", "start", "--config", relay.file)
}

// capturedRelay is a relay whose configuration has a directory for captures.
type capturedRelay struct {
	*daemon
	dir, file, config string // working directory, configuration file and its text
	captures          string // directory of the capture files
}

// newCapturedRelay sets up a relay with four partners, without starting it. Partner 1 never answers, and partner 2 answers 429.
func newCapturedRelay(t *testing.T) *capturedRelay {
	t.Helper()
	dir := t.TempDir()
	relay := &capturedRelay{dir: dir, captures: filepath.Join(dir, "captures")}
	hang := make(chan struct{})
	relay.daemon, relay.file, relay.config = newTestRelay(t, dir, 4, func(a standin.Arrival) httpwire.Answer {
		switch a.Endpoint {
		case 1:
			<-hang
		case 2:
			return httpwire.Answer{Status: 429, Header: []string{"Retry-After", "0.3"}}
		}
		return httpwire.Answer{Status: 200}
	}, fmt.Sprintf(`"capture": {"dir": %q}`, relay.captures))
	t.Cleanup(func() { close(hang) })
	return relay
}

// captureAcrossKill has the relay process eighty messages, with a reload that changes the discovery address and a SIGKILL in between.
// It returns two captures, one from before the SIGKILL and one from after it.
func (r *capturedRelay) captureAcrossKill(t *testing.T) (files []string) {
	t.Helper()
	r.start(t, r.file)
	r.submit(t, 0, 20) // the capture that starts next records these messages only as part of its initial state
	r.signalCapture(t, "start")
	r.awaitCapture(t, 1, "")
	r.submit(t, 20, 40)
	r.moveDiscovery(t)
	r.submit(t, 40, 60)
	r.awaitCapture(t, 1, "m-59")
	r.kill()
	r.start(t, r.file) // resumes pending messages from the journal
	r.signalCapture(t, "start")
	r.awaitCapture(t, 2, "")
	r.submit(t, 60, 80)
	r.signalCapture(t, "stop")
	files = r.awaitCapture(t, 2, "m-79")
	_ = r.Process.Signal(syscall.SIGTERM)
	_ = r.Wait()
	return files
}

// submit sends the messages of the half-open range of numbers [from, to).
func (r *capturedRelay) submit(t *testing.T, from, to int) {
	t.Helper()
	client := standin.NewClient(r.address)
	defer client.Close()
	for i := from; i < to; i++ {
		m := &standin.Message{ID: fmt.Sprint("m-", i), Key: fmt.Sprint("k-", i), Class: "match-event", Partner: i % 4, Timeout: 3 * time.Second, Body: "goal"}
		client.Send(t.Context(), m)
	}
}

// signalCapture runs the command that starts or stops a capture in the relay.
func (r *capturedRelay) signalCapture(t *testing.T, command string) {
	t.Helper()
	runCommandLine(t, 0, "capture", command, "--config", r.file, "--pid", fmt.Sprint(r.Process.Pid))
}

// moveDiscovery has the relay reload a configuration with another discovery address.
func (r *capturedRelay) moveDiscovery(t *testing.T) {
	t.Helper()
	moved, err := standin.NewDiscovery(r.endpointList)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(moved.Close)
	writeFile(t, r.file, []byte(strings.Replace(r.config, r.discovery, moved.Address, 1)))
	_ = r.Process.Signal(syscall.SIGHUP)
}

// awaitCapture waits until the n-th capture exists and, unless id is empty, contains that message. It returns all captures.
func (r *capturedRelay) awaitCapture(t *testing.T, n int, id string) (files []string) {
	t.Helper()
	for range 800 {
		files, _ := capture.Files(r.captures)
		if len(files) >= n && (id == "" || hasMessage(files[n-1], id)) {
			return files
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("capture %d with message %q was not written", n, id)
	return nil
}

// hasMessage reports whether a capture, as far as it has been written, contains a message.
func hasMessage(file, id string) (found bool) {
	_ = readCapture(file, func(reader *capture.Reader) error {
		return reader.Each(func(record any) error {
			m, ok := record.(*capture.Message)
			found = found || ok && m.ID == id
			return nil
		})
	})
	return found
}

// replayTenTimes replays each capture ten times, each time in a new process of the same build.
func replayTenTimes(t *testing.T, files []string) {
	t.Helper()
	program, hasMoved := buildProgram(t), false
	for _, file := range files {
		for range 10 {
			out, err := exec.Command(program, "replay", file).CombinedOutput()
			if err != nil || !strings.Contains(string(out), "every decision is the same") {
				t.Fatalf("%s: %v\n%s", file, err, out)
			}
			if !strings.Contains(string(out), "so is all that the core did") {
				t.Fatalf("%s: the replay does not cover the core\n%s", file, out)
			}
			hasMoved = hasMoved || strings.Contains(string(out), "discovery of platform has moved")
		}
	}
	if !hasMoved {
		t.Error("no replay reports the change of the discovery address")
	}
}

// checkReplayFlags tests tracing a message, replaying in part, and replaying under other settings.
func (r *capturedRelay) checkReplayFlags(t *testing.T, file string) {
	t.Helper()
	if out := runCommandLine(t, 0, "replay", file, "--explain", "m-21"); !strings.Contains(out, "m-21 arrives for destination 1") {
		t.Errorf("the trace of m-21 does not begin with its arrival:\n%s", out)
	}
	runCommandLine(t, 1, "replay", file, "--explain", "nobody")
	runCommandLine(t, 0, "replay", file, "--until", "200ms")
	if out := runCommandLine(t, 0, "replay", file, "--against", r.file); !strings.Contains(out, "0 turns differ") {
		t.Errorf("replay under the same settings finds differences:\n%s", out)
	}
	oneSlot := filepath.Join(r.dir, "other.json")
	writeFile(t, oneSlot, []byte(strings.Replace(r.config, `"workers": 8`, `"workers": 1`, 1)))
	if out := runCommandLine(t, 0, "replay", file, "--against", oneSlot); strings.Contains(out, " 0 turns differ") {
		t.Errorf("replay with one worker finds no differences:\n%s", out)
	}
}

// cutWindow extracts a time window of a capture into a new capture, which must replay, and returns its path.
func (r *capturedRelay) cutWindow(t *testing.T, file string) (window string) {
	t.Helper()
	folder := filepath.Join(r.dir, "window")
	runCommandLine(t, 0, "replay", file, "--to-test", folder, "--from", "100ms", "--for", "1s")
	written, _ := filepath.Glob(filepath.Join(folder, "*"))
	if len(written) != 1 {
		t.Fatalf("captures written: %v, want one", written)
	}
	runCommandLine(t, 0, "replay", written[0])
	return written[0]
}
