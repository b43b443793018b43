package fleettest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
)

const (
	daysEnv     = "FLEET_DAYS"  // number of random days, instead of defaultDays
	firstEnv    = "FLEET_FIRST" // seed of the first random day
	shrinkDays  = 200           // days that the reduction of a failing plan may run
	dayWorkers  = 2             // days run concurrently
	planPattern = "testdata/plans/*.json"
)

// numberFromEnv returns the number in an environment variable, or the default if it is not set.
func numberFromEnv(t *testing.T, name string, defaultNumber uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return defaultNumber
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// addCounts adds the counts of another day.
func (r *Result) addCounts(day Result) {
	r.Orders += day.Orders
	r.Reads += day.Reads
	r.Runs += day.Runs
	r.Complete += day.Complete
	r.Programs += day.Programs
}

func TestRandomDays(t *testing.T) {
	first, days := numberFromEnv(t, firstEnv, 1), numberFromEnv(t, daysEnv, defaultDays)
	results := make([]Result, days)
	var group sync.WaitGroup
	for worker := range uint64(dayWorkers) {
		group.Go(func() {
			for i := worker; i < days; i += dayWorkers {
				results[i] = Run(RandomPlan(first+i), Options{})
			}
		})
	}
	group.Wait()
	var sum Result
	failed := 0
	for i, result := range results {
		sum.addCounts(result)
		if len(result.Violations) == 0 {
			continue
		}
		failed++
		t.Errorf("seed %d: %q", first+uint64(i), result.Violations[:min(3, len(result.Violations))])
		if failed == 1 {
			shrunk := Shrink(RandomPlan(first+uint64(i)), shrinkDays, func(p Plan) bool { return len(Run(p, Options{}).Violations) > 0 })
			t.Errorf("smallest plan: %s: %q", shrunk.Text(), Run(shrunk, Options{}).Violations)
		}
	}
	t.Logf("%d days: %d orders, %d reads, %d runs, %d answers, %d programs", days, sum.Orders, sum.Reads, sum.Runs, sum.Complete, sum.Programs)
	if sum.Orders < int(days) || sum.Programs < int(days) {
		t.Error("the days tested too little: want at least one order and one program a day")
	}
}

// TestRun_RecordedPlans_BreakNoRule runs the recorded plans of days that failed once.
func TestRun_RecordedPlans_BreakNoRule(t *testing.T) {
	names, err := filepath.Glob(planPattern)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			var plan Plan
			if err := json.Unmarshal(text, &plan); err != nil {
				t.Fatal(err)
			}
			for _, violation := range Run(plan, Options{}).Violations {
				t.Error(violation)
			}
		})
	}
}

func TestRun_SameSeed_SameTrace(t *testing.T) {
	skipUnderRace(t)
	// Given a plan, when it is run twice, then both days are the same, event by event.
	var traces [2][]string
	for i := range traces {
		Run(RandomPlan(5), Options{Trace: func(format string, arguments ...any) {
			traces[i] = append(traces[i], fmt.Sprintf(format, arguments...))
		}})
	}
	for i := range traces[0] {
		if i >= len(traces[1]) || traces[0][i] != traces[1][i] {
			t.Fatalf("line %d of the traces differs; the first run has: %s", i, traces[0][i])
		}
	}
	if len(traces[0]) != len(traces[1]) {
		t.Fatal("the traces differ in length")
	}
}

// TestRandomPlan_FirstSeeds_KeepTheirPlans checks that seeds still give the same plans, so that recorded seeds can be run again.
func TestRandomPlan_FirstSeeds_KeepTheirPlans(t *testing.T) {
	const want = "72e7c8eaf13aa6e957967f6420798e4ae879bac8513345b14bd2d3a7cdaf611a"
	hash := sha256.New()
	for seed := range uint64(300) {
		fmt.Fprintln(hash, RandomPlan(seed).Text())
	}
	if got := hex.EncodeToString(hash.Sum(nil)); got != want {
		t.Errorf("the plans' SHA-256 is %s, was %s: the order of draws, a kind or a JSON key has changed", got, want)
	}
}
