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
		{"given a spent budget when the program comes back within ten minutes then it is still spent", 599, BudgetExceeded},
		{"given a spent budget when the program comes back much later then it is a new one", 601, Accepted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := New()
			machine.Apply(beginTurn("a", "p", 100, 100))
			machine.Apply(endTurn("a", true, 100, "", 0))
			passTime(machine, 0, test.idleS)
			late := beginTurn("b", "p", 100, 1)
			late.Begin.AtMs += int64(test.idleS * 1000)
			if got := machine.Apply(late).Verdict; got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestTurnAbandonedByRelay_Expires_KeepsReservation(t *testing.T) {
	// given a turn with an input that was begun and never ended
	machine := New()
	left := beginRemembered("a", "", "[in a]", 0)
	left.Begin.Program = "p"
	left.Begin.Budget = 100
	left.Begin.MaxTokens = 60
	machine.Apply(left)
	// when its bound and the margin have passed
	passTime(machine, 0, 151)
	// then its input has expired and its end comes too late, and what it reserved counts
	if got := machine.Apply(endTurn("a", true, 1, "[out a]", 152)).Verdict; got != UnknownTurn {
		t.Errorf("the end got %s", got)
	}
	if stats := machine.Stats(); stats.Bytes != 0 {
		t.Errorf("%d bytes are left", stats.Bytes)
	}
	if got := machine.Apply(beginTurn("b", "p", 100, 41)).Verdict; got != BudgetExceeded {
		t.Errorf("a turn over what is left got %s", got)
	}
	if got := machine.Apply(beginTurn("c", "p", 100, 40)).Verdict; got != Accepted {
		t.Errorf("a turn within what is left got %s", got)
	}
}

func TestTokens_SumExceedsMaximum_Saturates(t *testing.T) {
	// given a program without a budget that reserved as much as there is
	machine := New()
	machine.Apply(beginTurn("a", "p", 0, math.MaxInt64))
	machine.Apply(beginTurn("b", "p", 0, math.MaxInt64))
	// when it gives a budget, then nothing fits into it
	if got := machine.Apply(beginTurn("c", "p", math.MaxInt64, 1)).Verdict; got != BudgetExceeded {
		t.Errorf("got %s", got)
	}
}

// passTime applies commands without effect, one a second, from after one second up to another.
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
		{"given a complete turn when its retention is over and the margin isn't then it is stored", 89, true},
		{"given a complete turn when both are over then it has expired", 91, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := New()
			machine.Apply(beginRemembered("a", "", "[in a]", 0))
			machine.Apply(endTurn("a", true, 1, "[out a]", 0))
			passTime(machine, 0, test.atS)
			if _, found := machine.Chain("a"); found != test.found {
				t.Errorf("stored: %v", found)
			}
		})
	}
}

func TestAncestors_ExpireWithLastDescendant(t *testing.T) {
	// given a chain of three turns, half a minute apart, and a branch that was broken off
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
	// when the retention of the first two is over, then the last one's chain is complete
	passTime(machine, 60, 149)
	if chain, _ := machine.Chain("t2"); string(chain) != "[in][out][in][out][in][out]" {
		t.Errorf("chain %q", chain)
	}
	// when the last one's is over too, then nothing is left
	passTime(machine, 149, 151)
	if stats := machine.Stats(); stats.Turns != 0 || stats.Bytes != 0 {
		t.Errorf("%+v is left", stats)
	}
}

func TestClock_Observe(t *testing.T) {
	const start = 1_000_000
	tests := []struct {
		name           string
		commandTimesMs []int64
		want           int64
	}{
		{"given one leader when time passes then the clock follows", []int64{start, start + 5, start + 900}, start + 900},
		{"given two leaders that differ when they alternate then the clock never goes back",
			[]int64{start, start + 5_000, start, start + 5_000, start + 1}, start + 5_000},
		{"given a leader when it jumps an hour ahead then the clock advances by the bound",
			[]int64{start, start + 3_600_000}, start + maxAdvanceMs},
		{"given a leader that was an hour ahead when it is set back then the clock goes on from there",
			[]int64{start, start + 3_600_000, start + 10, start + 30}, start + maxAdvanceMs + 20},
		{"given invalid times when they are observed then they are ignored",
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
