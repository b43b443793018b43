package demo

import (
	"bytes"
	"context"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/localtier/localtiertest"
	"mastusher/internal/tier/standin"
)

func TestRun_LossOfStoreAndController_NoViolations(t *testing.T) {
	// Given the binary that the deployment runs
	binary, folder := localtiertest.Build(t, "mastusher/cmd/mastusher-tier"), t.TempDir()
	var report bytes.Buffer

	// When the demo runs it, with the loss of a store and of the configuration's leader
	err := Run(t.Context(), Options{Binary: binary, Folder: folder, Report: &report})

	// Then no guarantee is violated, and no process has found a race
	t.Logf("report:\n%s", &report)
	logs := localtiertest.Logs(t, folder, 0)
	if err != nil {
		t.Fatalf("%v\n%s", err, logs)
	}
	if strings.Contains(logs, "DATA RACE") || strings.Contains(logs, "panic:") {
		t.Fatal(logs)
	}
	for _, step := range []string{"all proxies are ready", "killed: core-", "program after: finished", "active on all proxies"} {
		if !strings.Contains(report.String(), step) {
			t.Errorf("the report doesn't contain %q", step)
		}
	}
}

func TestUnexpectedExits_ProcessEndsByItself_IsReported(t *testing.T) {
	// Given a binary that ends at once
	binary, err := exec.LookPath("false")
	if err != nil {
		t.Fatal("the program false, which ends at once with status 1, is not installed")
	}
	ctx, cancel := context.WithCancel(t.Context())
	folder := t.TempDir()
	started, err := startTier(binary, folder, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}

	// When all its processes have ended
	for _, p := range started.Processes {
		if err := p.Wait(ctx); err != nil {
			t.Fatal(err)
		}
	}
	cancel()

	// Then each is reported, and neither Stop nor WaitReady waits for them
	if got := localtier.UnexpectedExits(started.Processes); len(got) != len(started.Processes) || !strings.Contains(got[0], "core-1/controller ended by itself") {
		t.Errorf("got %q", got)
	}
	if got := localtier.Stop(started.Processes, localtier.StopTimeout); len(got) != 0 {
		t.Errorf("got %q", got)
	}
	if err := started.WaitReady(ctx); err == nil {
		t.Error("WaitReady succeeds without a process")
	}
}

func TestLastCompleteTurn(t *testing.T) {
	complete := standin.Turn{Attempt: "a", Status: 200, Complete: true}
	cases := []struct {
		name  string
		turns []standin.Turn
		want  standin.Turn
	}{
		{name: "no turn"},
		{name: "the last turn is complete", turns: []standin.Turn{{Attempt: "0", Status: 200, Complete: true}, complete}, want: complete},
		{name: "an incomplete turn after it", turns: []standin.Turn{complete, {Attempt: "b", Status: 200}}, want: complete},
		{name: "a rejection after it", turns: []standin.Turn{complete, {Attempt: "b", Status: 503, Complete: true}}, want: complete},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, lastCompleteTurn(standin.Outcome{Turns: c.turns})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestStatuses_Duplicates_AreListedOnce(t *testing.T) {
	outcome := standin.Outcome{Turns: []standin.Turn{{Status: 503}, {Status: 200}}, Tools: []standin.Tool{{Status: 200}}}
	if got := statuses(outcome); !slices.Equal(got, []int{200, 503}) {
		t.Errorf("got %v", got)
	}
}
