package program

import (
	"fmt"
	"math"
	"testing"
)

func TestBudgetRecord_ProgramReturns_SpentUntilRetentionOver(t *testing.T) {
	tests := []struct {
		name  string
		idleS float64
		want  Verdict
	}{
		{"given a spent budget when the program begins a turn within the retention then the budget is still spent", 599, BudgetExceeded},
		{"given a spent budget when the program begins a turn after the retention then the budget is new", 601, Accepted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := New()
			machine.Apply(beginTurn("a", "p", 100, 100))
			machine.Apply(endTurn("a", true, 100, "", 0))
			passTime(machine, 0, test.idleS)
			afterIdle := beginTurn("b", "p", 100, 1)
			afterIdle.Begin.AtMs += int64(test.idleS * 1000)
			if got := machine.Apply(afterIdle).Verdict; got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestTurnAbandonedByRelay_Expires_KeepsReservation(t *testing.T) {
	// given a turn with an input that was begun and never ended
	machine := New()
	abandoned := beginRemembered("a", "", "[in a]", 0)
	abandoned.Begin.Program = "p"
	abandoned.Begin.Budget = 100
	abandoned.Begin.MaxTokens = 60
	machine.Apply(abandoned)
	// when the retention of a turn in flight and the margin have passed
	passTime(machine, 0, 151)
	// then its end is rejected, its input has expired, and its reservation still counts against the budget
	if got := machine.Apply(endTurn("a", true, 1, "[out a]", 152)).Verdict; got != UnknownTurn {
		t.Errorf("verdict on the late end: %s, want unknown_turn", got)
	}
	if stats := machine.Stats(); stats.Bytes != 0 {
		t.Errorf("%d bytes of content are left, want 0", stats.Bytes)
	}
	if got := machine.Apply(beginTurn("b", "p", 100, 41)).Verdict; got != BudgetExceeded {
		t.Errorf("verdict on a turn that exceeds the remaining budget: %s, want budget_spent", got)
	}
	if got := machine.Apply(beginTurn("c", "p", 100, 40)).Verdict; got != Accepted {
		t.Errorf("verdict on a turn within the remaining budget: %s, want taken", got)
	}
}

func TestTokens_SumExceedsMaximum_Saturates(t *testing.T) {
	// given a program without a budget whose reservations add up to more than math.MaxInt64
	machine := New()
	machine.Apply(beginTurn("a", "p", 0, math.MaxInt64))
	machine.Apply(beginTurn("b", "p", 0, math.MaxInt64))
	// when another turn sets the largest possible budget, then not even one token is left in it
	if got := machine.Apply(beginTurn("c", "p", math.MaxInt64, 1)).Verdict; got != BudgetExceeded {
		t.Errorf("verdict %s, want budget_spent", got)
	}
}

// passTime advances the clock by commands without any other effect, one per second, after second fromS up to second toS.
func passTime(machine *Machine, fromS, toS float64) {
	for atS := fromS + 1; atS <= toS; atS++ {
		machine.Apply(endTurn("nobody", false, 0, "", atS))
	}
}

func TestCompleteTurn_RetentionOver_Expires(t *testing.T) {
	tests := []struct {
		name  string
		atS   float64
		found bool
	}{
		{"given a complete turn when its retention isn't over then it is stored", 60, true},
		{"given a complete turn when its retention is over but not the margin then it is stored", 89, true},
		{"given a complete turn when its retention and the margin are over then it has expired", 91, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := New()
			machine.Apply(beginRemembered("a", "", "[in a]", 0))
			machine.Apply(endTurn("a", true, 1, "[out a]", 0))
			passTime(machine, 0, test.atS)
			if _, found := machine.Chain("a"); found != test.found {
				t.Errorf("chain found: %v", found)
			}
		})
	}
}

func TestAncestors_ExpireWithLastDescendant(t *testing.T) {
	// given a chain of three turns, half a minute apart, and an incomplete turn that continues the first
	machine := New()
	previous := ""
	for i := range 3 {
		name := fmt.Sprint("t", i)
		machine.Apply(beginRemembered(name, previous, "[in]", float64(30*i)))
		machine.Apply(endTurn(name, true, 1, "[out]", float64(30*i)))
		previous = name
	}
	machine.Apply(beginRemembered("branch", "t0", "[in]", 60))
	machine.Apply(endTurn("branch", false, 1, "", 60))
	// when the retention of the first two turns is over, then the last one still has its whole chain
	passTime(machine, 60, 149)
	if chain, _ := machine.Chain("t2"); string(chain) != "[in][out][in][out][in][out]" {
		t.Errorf("the last turn has chain %q, want all three turns", chain)
	}
	// when the retention of the last one is over too, then nothing is left
	passTime(machine, 149, 151)
	if stats := machine.Stats(); stats.Turns != 0 || stats.Bytes != 0 {
		t.Errorf("%+v is left, want no turns and no bytes", stats)
	}
}

func TestClock_Observe(t *testing.T) {
	const start = 1_000_000
	tests := []struct {
		name           string
		commandTimesMs []int64
		want           int64
	}{
		{"given one leader when its clock advances then the machine's clock follows", []int64{start, start + 5, start + 900}, start + 900},
		{"given two leaders whose clocks differ when they alternate then the machine's clock never goes back",
			[]int64{start, start + 5_000, start, start + 5_000, start + 1}, start + 5_000},
		{"given a leader when its clock jumps an hour ahead then the machine's clock advances by the bound",
			[]int64{start, start + 3_600_000}, start + maxAdvanceMs},
		{"given a leader's clock that was an hour ahead when it is set back then the machine's clock continues from where it is",
			[]int64{start, start + 3_600_000, start + 10, start + 30}, start + maxAdvanceMs + 20},
		{"given invalid times when they are observed then the machine's clock ignores them",
			[]int64{0, -5, start, 0, -start, maxTimeMs + 1, start + 1}, start + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var c clock
			for _, atMs := range test.commandTimesMs {
				c.observe(atMs)
			}
			if c.nowMs != test.want {
				t.Errorf("now %d, want %d", c.nowMs, test.want)
			}
		})
	}
}
