package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/localtier/localtiertest"
)

// TestSoakOfRealProcesses plays two short plans at the same time. All bounds are those of the long runs.
func TestSoakOfRealProcesses(t *testing.T) {
	tier := localtiertest.Build(t, "mastusher/cmd/mastusher-tier")
	soak := localtiertest.Build(t, "mastusher/cmd/tier-soak")
	const second = time.Second
	plans := map[string]Plan{
		"kills, pauses and lost answers, then a kill of everything": {Seed: 1, Length: 4 * second,
			Troubles: []Trouble{
				{At: second / 2, Kind: KillStores, For: second},
				{At: second, Kind: PauseOne, Target: 1, For: 2 * second},
				{At: second, Kind: LoseAcks, For: 2 * second},
				{At: 2 * second, Kind: KillSome, Count: 3, For: second},
			},
			Closing: Trouble{Kind: KillAll, For: second}},
		"cuts and SIGTERM, then a kill of everything and a lost disk": {Seed: 2, Length: 3 * second, Cuts: true,
			Troubles: []Trouble{
				{At: second / 2, Kind: CutMachine, Target: 3, For: 2 * second},
				{At: second, Kind: CutOut, Target: 0, For: second},
				{At: second, Kind: LoseAnswers, For: second},
				{At: 3 * second / 2, Kind: Terminate, Target: 5},
			},
			Closing: Trouble{Kind: LoseDisk, Target: 4, For: second}},
	}
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var report bytes.Buffer
			folder := t.TempDir()
			result, err := Play(t.Context(), Options{Plan: plan, Binary: tier, Cutting: []string{soak, "role"}, Folder: folder, Report: &report})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(result.Text())
			if len(result.Violations) > 0 {
				t.Errorf("%v\n%s\n%s", result.Violations, &report, logsIn(t, folder))
			}
			if result.Served < 20 || result.Continued < 20 || result.Orders < 3 || result.Reads < 3 || len(result.FirstServed) != 2 {
				t.Errorf("too little was played: %s", result.Text())
			}
			if plan.Closing.Kind == LoseDisk && result.Disks != 1 {
				t.Errorf("%d disks were lost", result.Disks)
			}
		})
	}
}

// logsIn returns the last lines of each process.
func logsIn(t *testing.T, folder string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	var logs strings.Builder
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		const shown = 4000
		logs.WriteString("--- " + filepath.Base(path) + "\n" + string(content[max(0, len(content)-shown):]))
	}
	return logs.String()
}
