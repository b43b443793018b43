package simulation

import (
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

var (
	daysFlag  = flag.Uint64("days", 3, "number of random days")
	firstFlag = flag.Uint64("first", 1, "seed of the first random day")
	traceFlag = flag.Bool("trace", false, "log each event")
)

const (
	shrinkDays = 30 // days that the reduction of a failing plan may run
	// stuckAfter is the real time after which a day counts as deadlocked: a goroutine waits for a mutex whose owner sleeps, so that
	// virtual time stands still.
	stuckAfter = 2 * time.Minute
)

// runAndCheckDay runs a plan and returns the violations, including leaked goroutines. The fleet is nil if the day didn't end.
func runAndCheckDay(t *testing.T, plan Plan) (violations []string, fleet *Fleet) {
	t.Helper()
	watchdog := time.AfterFunc(stuckAfter, func() {
		debug.SetTraceback("all")
		stacks := make([]byte, 1<<24)
		panic(fmt.Sprintf("the day is deadlocked: %s\n%s", plan.Text(), stacks[:runtime.Stack(stacks, true)]))
	})
	defer watchdog.Stop()
	defer func() {
		if leak := recover(); leak != nil {
			violations = append(violations, fmt.Sprintf("LEAK: %v\n%s", leak, leakedStacks()))
			if fleet != nil {
				violations = append(violations, fleet.Violations()...)
			}
		}
	}()
	folder := t.TempDir()
	var trace func(format string, arguments ...any)
	if *traceFlag {
		trace = t.Logf
	}
	var done atomic.Pointer[Fleet]
	synctest.Test(t, func(t *testing.T) {
		f, err := runDay(plan, folder, trace)
		if err != nil {
			t.Fatal(err)
		}
		done.Store(f)
	})
	fleet = done.Load()
	violations = append(fleet.Violations(), checkConfiguration(fleet.history)...)
	return append(violations, checkTurns(fleet.history, fleet.environment.runLog)...), fleet
}

// leakedStacks returns the stacks of the goroutines that are left in a bubble.
func leakedStacks() string {
	stacks := make([]byte, 1<<24)
	var leaked []string
	for _, stack := range strings.Split(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
		if head, _, _ := strings.Cut(stack, "\n"); strings.Contains(head, "synctest bubble") {
			leaked = append(leaked, stack)
		}
	}
	return strings.Join(leaked, "\n\n")
}

func TestRandomDays(t *testing.T) {
	t.Parallel()
	orders, programs, turns, runs := 0, 0, 0, 0
	failedDays := uint64(0)
	for seed := *firstFlag; seed < *firstFlag+*daysFlag; seed++ {
		plan := RandomPlan(seed)
		violations, fleet := runAndCheckDay(t, plan)
		if fleet != nil {
			orders += len(fleet.history.orders())
			programs += len(fleet.history.programs)
			turns += len(fleet.history.completeTurns())
			runs += len(fleet.environment.runLog.All())
		}
		if len(violations) == 0 {
			continue
		}
		failedDays++
		t.Errorf("seed %d: %s\n%s", seed, plan.Text(), strings.Join(violations[:min(5, len(violations))], "\n"))
		if failedDays == 1 {
			shrunk := Shrink(plan, shrinkDays, func(p Plan) bool { found, _ := runAndCheckDay(t, p); return len(found) > 0 })
			found, _ := runAndCheckDay(t, shrunk)
			t.Errorf("smallest plan: %s\n%s", shrunk.Text(), strings.Join(found, "\n"))
		}
	}
	t.Logf("%d days, %d with violations: %d orders sent, %d programs, %d complete turns, %d runs at endpoints", *daysFlag, failedDays, orders, programs, turns, runs)
	if turns < 20*int(*daysFlag) || orders < 5*int(*daysFlag) {
		t.Error("the days tested too little: want at least 20 complete turns and 5 orders a day")
	}
}
