package soak

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"testing"
	"time"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/localtier/localtiertest"
)

// TestRun_ShortPlans_NoViolations runs two short plans at the same time, with the same bounds as long runs.
func TestRun_ShortPlans_NoViolations(t *testing.T) {
	tier := localtiertest.Build(t, "mastusher/cmd/mastusher-tier")
	soak := localtiertest.Build(t, "mastusher/cmd/tier-soak")
	const second = time.Second
	plans := map[string]Plan{
		"kills, pauses and lost responses, then a kill of everything": {Seed: 1, Length: 4 * second,
			Faults: []Fault{
				{At: second / 2, Kind: KillStores, For: second},
				{At: second, Kind: PauseOne, Target: 1, For: 2 * second},
				{At: second, Kind: DropAcks, For: 2 * second},
				{At: 2 * second, Kind: KillSome, Count: 3, For: second},
			},
			Closing: Fault{Kind: KillAll, For: second}},
		"partitions and SIGTERM, then a kill of everything and a lost disk": {Seed: 2, Length: 3 * second, Partitions: true,
			Faults: []Fault{
				{At: second / 2, Kind: IsolateMachine, Target: 3, For: 2 * second},
				{At: second, Kind: DropOutbound, Target: 0, For: second},
				{At: second, Kind: DropResponses, For: second},
				{At: 3 * second / 2, Kind: Terminate, Target: 5},
			},
			Closing: Fault{Kind: LoseDisk, Target: 4, For: second}},
	}
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var report bytes.Buffer
			folder := t.TempDir()
			result, err := Run(t.Context(), Options{Plan: plan, Binary: tier, PartitionCommand: []string{soak, "role"}, Folder: folder, Report: &report})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result.Text())
			if len(result.Violations) > 0 {
				t.Errorf("%v\n%s\n%s", result.Violations, &report, localtiertest.Logs(t, folder, shownLogBytes))
			}
			if result.Served < 20 || result.Continued < 20 || result.Orders < 3 || result.Reads < 3 || len(result.FirstServed) != 2 {
				t.Errorf("too little traffic: %s", result.Text())
			}
			if plan.Closing.Kind == LoseDisk && result.DisksLost != 1 {
				t.Errorf("%d disks were lost", result.DisksLost)
			}
		})
	}
}

// shownLogBytes bounds what a failed test shows of each process's log.
const shownLogBytes = 4000

// runOf returns a run whose processes execute a command. None of them is started.
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
	r := &run{options: Options{Report: io.Discard}, started: time.Now(), tier: tier}
	for number, p := range tier.Processes {
		r.services = append(r.services, &service{Process: p, number: number, recordViolation: r.recordViolation})
	}
	return r
}

func (r *run) kinds() map[string]int { return r.result.Kinds() }

func TestReadLogs_ForbiddenText_IsAViolation(t *testing.T) {
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
