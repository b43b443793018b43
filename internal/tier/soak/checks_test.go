package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"mastusher/internal/tier/localtier"
)

const patience = 10 * time.Second

// runOf returns a run whose processes are those of a command, none of which has begun.
func runOf(t *testing.T, command string, arguments ...string) *run {
	t.Helper()
	path, err := exec.LookPath(command)
	if err != nil {
		t.Fatal(err)
	}
	tier, err := localtier.New(localtier.Options{Command: append([]string{path}, arguments...), Folder: t.TempDir(), Platform: "127.0.0.1:1",
		Counts: localtier.Counts{Core: 1, Storage: 1, Edge: 1}})
	if err != nil {
		t.Fatal(err)
	}
	r := &run{options: Options{Report: io.Discard}, began: time.Now(), tier: tier}
	for number, p := range tier.Processes {
		r.services = append(r.services, &service{Process: p, number: number, note: r.violate})
	}
	return r
}

func (r *run) kinds() map[string]int { return r.result.Kinds() }

func TestAnEndByItselfIsCounted(t *testing.T) {
	r := runOf(t, "false")
	s := r.services[0]
	s.watch()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := s.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	holdDown([]*service{s})
	if got := r.kinds(); got["ENDED"] != 1 || len(got) != 1 {
		t.Errorf("%v", r.result.Violations)
	}
}

func TestHoldsAreCounted(t *testing.T) {
	r := runOf(t, "sh", "-c", "exec sleep 60")
	s := r.services[1]
	defer func() { holdDown([]*service{s}) }()
	s.watch()
	holdDown(r.services[1:2])
	holdDown(r.services[1:2])
	s.release()
	if s.Running() {
		t.Error("runs while it is held down")
	}
	s.release()
	if !s.Running() {
		t.Error("doesn't run")
	}
	s.pause()
	s.pause()
	s.goOn()
	if state := stateOf(t, s); state != 'T' {
		t.Errorf("state %c while it is stopped", state)
	}
	s.goOn()
	if len(r.result.Violations) > 0 {
		t.Errorf("%v", r.result.Violations)
	}
	// An end that no signal from here has brought about is noticed also where the process was killed before.
	_ = syscall.Kill(s.Pid(), syscall.SIGINT)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := s.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	s.watch()
	if r.kinds()["ENDED"] != 1 {
		t.Errorf("%v", r.result.Violations)
	}
}

// stateOf returns the letter by which the system names the state of a process, once it is stopped or some time has gone by.
func stateOf(t *testing.T, s *service) byte {
	t.Helper()
	var state byte
	for end := time.Now().Add(patience); state != 'T' && time.Now().Before(end); time.Sleep(time.Millisecond) {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.Pid()))
		if err != nil {
			t.Fatal(err)
		}
		state = status[bytes.LastIndexByte(status, ')')+2]
	}
	return state
}

func TestLogsAreRead(t *testing.T) {
	r := runOf(t, "true")
	for at, text := range []string{"all is well\n", "panic: no\n", "WARNING: DATA RACE\n", ""} {
		if err := os.WriteFile(r.services[at].LogPath(), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	r.readLogs()
	if got := r.kinds(); got["LOG"] != 2 || len(got) != 1 {
		t.Errorf("%v", r.result.Violations)
	}
}

func TestWhatControllersTellIsChecked(t *testing.T) {
	cases := []struct {
		name   string
		status int
		tells  uint64
		other  bool // content than that of the number
		broken bool
	}{
		{name: "the newest", status: 200, tells: 5},
		{name: "one that is on its way", status: 200, tells: 6},
		{name: "nothing now", status: 503},
		{name: "an older one", status: 200, tells: 4, broken: true},
		{name: "one that wasn't sent", status: 200, tells: 7, broken: true},
		{name: "other content", status: 200, tells: 5, other: true, broken: true},
		{name: "none", status: 404, broken: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
				told := configuration(c.tells)
				if c.other {
					told.Routes[0].Name = "other"
				}
				response.WriteHeader(c.status)
				_ = json.NewEncoder(response).Encode(told)
			}))
			defer server.Close()
			r := runOf(t, "true")
			o := newOperator(r)
			o.acked, o.sent = 5, 6
			o.read(t.Context(), server.Listener.Addr().String())
			if got := r.kinds()["CONFIG"] > 0; got != c.broken {
				t.Errorf("%v", r.result.Violations)
			}
		})
	}
}

func TestControllersAgreeOnceAllMembersSayTheSame(t *testing.T) {
	line := func(owner string, epoch, members int) string {
		return fmt.Sprintf("level=info msg=\"group changed\" group=configuration leader=%s isLeader=false term=%d members=%d\n", owner, epoch, members)
	}
	cases := []struct {
		name string
		logs [5]string
		want bool
	}{
		{name: "all five", logs: [5]string{line("a", 2, 5), line("a", 2, 5), line("a", 2, 5), line("a", 2, 5), line("", 1, 5) + line("a", 2, 5)}, want: true},
		{name: "one of five is missing", logs: [5]string{line("a", 2, 5), line("a", 2, 5), line("a", 2, 5), line("a", 2, 5), line("", 2, 5)}},
		{name: "one was taken out", logs: [5]string{line("a", 2, 4), line("a", 2, 4), line("", 2, 5), line("a", 2, 4), line("a", 2, 4)}, want: true},
		{name: "one is being changed for another", logs: [5]string{line("a", 2, 4), line("a", 2, 3), line("a", 2, 3), line("", 2, 5), line("", 2, 5)}},
		{name: "a newer epoch", logs: [5]string{line("a", 2, 3), line("a", 2, 3), line("a", 2, 3), line("", 3, 3), ""}},
		{name: "too few copies", logs: [5]string{line("a", 2, 2), line("a", 2, 2), "", "", ""}},
		{name: "no owner", logs: [5]string{line("", 2, 3), line("", 2, 3), line("", 2, 3), "", ""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runOf(t, "true")
			r.services = nil
			for number, text := range c.logs {
				tier, err := localtier.New(localtier.Options{Command: []string{"true"}, Folder: t.TempDir(), Counts: localtier.Counts{Core: 1}})
				if err != nil {
					t.Fatal(err)
				}
				s := &service{Process: tier.Processes[0], number: number}
				r.services = append(r.services, s)
				if err := os.WriteFile(s.LogPath(), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if got := r.controllersAgree(); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}
