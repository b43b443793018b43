package program

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const startMs = 1_700_000_000_000

// beginTurn asks for a turn that doesn't need more than its name and its most.
func beginTurn(turn, program string, budget, most int64) Command {
	return Command{Begin: &BeginTurn{Turn: turn, Program: program, Budget: budget, MaxTokens: most, AtMs: startMs}}
}

// beginRemembered asks for a remembered turn of no program.
func beginRemembered(turn, previous, input string, atS float64) Command {
	return Command{Begin: &BeginTurn{
		Turn: turn, Previous: previous, Input: []byte(input),
		Remembered: true, KeepForS: 60, AtMs: startMs + int64(atS*1000),
	}}
}

// beginImporting is ask with the chain of previous from another shard.
func beginImporting(turn, previous, imported, input string) Command {
	command := beginRemembered(turn, previous, input, 0)
	command.Begin.Imported = []byte(imported)
	return command
}

func endTurn(turn string, whole bool, tokens int64, output string, atS float64) Command {
	return Command{End: &EndTurn{
		Turn: turn, Complete: whole, Tokens: tokens, Output: []byte(output), AtMs: startMs + int64(atS*1000),
	}}
}

func accepted(chain string) Result {
	if chain == "" {
		return Result{Verdict: Accepted}
	}
	return Result{Verdict: Accepted, Chain: []byte(chain)}
}

func rejected(verdict Verdict) Result { return Result{Verdict: verdict} }

func TestMachine_Apply(t *testing.T) {
	type step struct {
		command Command
		want    Result
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"given a budget when turns come up to it then they are taken and the next is refused", []step{
			{beginTurn("a", "p", 100, 60), accepted("")},
			{beginTurn("b", "p", 100, 40), accepted("")},
			{beginTurn("c", "p", 100, 1), rejected(BudgetExceeded)},
			{beginTurn("d", "p", 100, 0), accepted("")},
		}},
		{"given a turn over the budget when it is asked for then it is refused and a smaller one fits", []step{
			{beginTurn("a", "p", 100, 101), rejected(BudgetExceeded)},
			{beginTurn("b", "p", 100, 100), accepted("")},
		}},
		{"given no budget when turns come then none is refused", []step{
			{beginTurn("a", "p", 0, 1<<62), accepted("")},
			{beginTurn("b", "p", 0, 1<<62), accepted("")},
			{beginTurn("c", "p", 0, 1<<62), accepted("")},
		}},
		{"given differing budgets when turns come then the least counts", []step{
			{beginTurn("a", "p", 100, 50), accepted("")},
			{beginTurn("b", "p", 80, 31), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 1000, 31), rejected(BudgetExceeded)},
			{beginTurn("d", "p", 0, 31), rejected(BudgetExceeded)},
			{beginTurn("e", "p", 1000, 30), accepted("")},
		}},
		{"given two programs when one has spent its budget then the other goes on", []step{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{beginTurn("b", "q", 100, 100), accepted("")},
		}},
		{"given a turn of no program when it tells a budget then it isn't bound", []step{
			{beginTurn("a", "", 100, 101), accepted("")},
		}},
		{"given a settled turn when the next comes then what wasn't handed on is free again", []step{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{endTurn("a", true, 30, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 71), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 100, 70), accepted("")},
		}},
		{"given a broken turn when the next comes then what was handed on counts", []step{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{endTurn("a", false, 30, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 71), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 100, 70), accepted("")},
		}},
		{"given more tokens than reserved when a turn ends then its most is spent", []step{
			{beginTurn("a", "p", 100, 60), accepted("")},
			{endTurn("a", true, 1000, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 41), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 100, 40), accepted("")},
		}},
		{"given less than no tokens when a turn ends then nothing is spent or won", []step{
			{beginTurn("a", "p", 100, 60), accepted("")},
			{endTurn("a", true, -1000, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 101), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 100, 100), accepted("")},
		}},
		{"given less than no tokens at most when a turn begins then nothing is won", []step{
			{beginTurn("a", "p", 100, -1000), accepted("")},
			{beginTurn("b", "p", 100, 101), rejected(BudgetExceeded)},
		}},
		{"given a turn that was taken when it is sent again then nothing is reserved twice", []step{
			{beginTurn("a", "p", 100, 60), accepted("")},
			{beginTurn("a", "p", 100, 60), accepted("")},
			{beginTurn("b", "p", 100, 40), accepted("")},
			{endTurn("a", true, 60, "", 0), accepted("")},
			{beginTurn("a", "p", 100, 60), accepted("")},
			{endTurn("a", true, 60, "", 0), accepted("")},
			{beginTurn("c", "p", 100, 1), rejected(BudgetExceeded)},
		}},
		{"given a refused turn when room is free again then it is judged anew", []step{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{beginTurn("b", "p", 100, 50), rejected(BudgetExceeded)},
			{endTurn("a", true, 50, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 50), accepted("")},
		}},
		{"given a line of turns when each goes on from the last then it gets all before it", []step{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 1), accepted("[in a][out a]")},
			{endTurn("b", true, 1, "[out b]", 1), accepted("")},
			{beginRemembered("c", "b", "[in c]", 2), accepted("[in a][out a][in b][out b]")},
			{beginRemembered("d", "a", "[in d]", 2), accepted("[in a][out a]")},
		}},
		{"given a turn under way when another goes on from it then there is no such turn", []step{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
		}},
		{"given a broken turn when another goes on from it then there is no such turn", []step{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", false, 1, "[out a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
		}},
		{"given a turn that isn't remembered when another goes on from it then there is no such turn", []step{
			{beginTurn("a", "p", 0, 1), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
		}},
		{"given a turn that goes on from itself when it comes then there is no such turn", []step{
			{beginRemembered("a", "a", "[in a]", 0), rejected(TurnNotFound)},
		}},
		{"given a broken turn when it is called whole later then the first end wins", []step{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", false, 1, "", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), rejected(UnknownTurn)},
			{endTurn("a", false, 1, "", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
		}},
		{"given a whole turn when it is called broken later then the first end wins", []step{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{endTurn("a", false, 1, "", 0), accepted("")},
			{endTurn("a", true, 1, "[other]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), accepted("[in a][out a]")},
		}},
		{"given a turn with a chain when it is sent again before and after its end then it gets the same chain", []step{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), accepted("[in a][out a]")},
			{beginRemembered("b", "a", "[in b]", 0), accepted("[in a][out a]")},
			{endTurn("b", false, 1, "", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), accepted("[in a][out a]")},
		}},
		{"given a turn of another shard when it is imported then the refused turn is taken", []step{
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
			{beginImporting("b", "a", "[chain of a]", "[in b]"), accepted("[chain of a]")},
			{endTurn("b", true, 1, "[out b]", 0), accepted("")},
			{beginRemembered("c", "b", "[in c]", 0), accepted("[chain of a][in b][out b]")},
			{beginRemembered("d", "a", "[in d]", 0), accepted("[chain of a]")},
		}},
		{"given a turn held here when it is imported all the same then the one here counts", []step{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{beginImporting("b", "a", "[other]", "[in b]"), accepted("[in a][out a]")},
		}},
		{"given no such turn when it is refused then nothing is reserved", []step{
			{Command{Begin: &BeginTurn{
				Turn: "a", Program: "p", Budget: 100, MaxTokens: 100, Remembered: true, Previous: "x", AtMs: startMs,
			}}, rejected(TurnNotFound)},
			{beginTurn("b", "p", 100, 100), accepted("")},
		}},
		{"given a spent budget and no such turn when a turn comes then the budget goes first", []step{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{Command{Begin: &BeginTurn{
				Turn: "b", Program: "p", Budget: 100, MaxTokens: 1, Remembered: true, Previous: "x", AtMs: startMs,
			}}, rejected(BudgetExceeded)},
		}},
		{"given a turn that isn't remembered when it names an earlier one then that is ignored", []step{
			{Command{Begin: &BeginTurn{Turn: "a", Previous: "x", AtMs: startMs}}, accepted("")},
		}},
		{"given no name or nothing to do when a command comes then it is unknown", []step{
			{beginTurn("", "p", 100, 1), rejected(UnknownTurn)},
			{endTurn("", true, 1, "", 0), rejected(UnknownTurn)},
			{endTurn("x", true, 1, "", 0), rejected(UnknownTurn)},
			{Command{}, rejected(UnknownTurn)},
		}},
		{"given names that aren't UTF-8 when they come again then they are the same", []step{
			{beginTurn("a\xff", "p\xfe", 100, 100), accepted("")},
			{beginTurn("a\ufffd", "p\ufffd", 100, 100), accepted("")},
			{beginTurn("b", "p\ufffd", 100, 1), rejected(BudgetExceeded)},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			machine := New()
			for i, step := range test.steps {
				got := machine.Apply(step.command)
				if diff := cmp.Diff(step.want, got); diff != "" {
					t.Fatalf("step %d (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}

func TestMachine_Chain_OnlyOfCompleteTurns(t *testing.T) {
	// given a whole turn that goes on from an imported one, one that is under way and one that was broken off
	machine := New()
	machine.Apply(beginImporting("b", "a", "[chain of a]", "[in b]"))
	machine.Apply(endTurn("b", true, 1, "[out b]", 0))
	machine.Apply(beginRemembered("c", "b", "[in c]", 0))
	machine.Apply(beginRemembered("d", "b", "[in d]", 0))
	machine.Apply(endTurn("d", false, 1, "[out d]", 0))

	// when their chains are asked for, then only what is whole is there
	tests := map[string]string{"a": "[chain of a]", "b": "[chain of a][in b][out b]", "c": "", "d": "", "x": ""}
	for name, want := range tests {
		chain, found := machine.Chain(name)
		if found != (want != "") || string(chain) != want {
			t.Errorf("Chain(%q) = %q, %v, want %q", name, chain, found, want)
		}
	}
}

func TestChains_ManyContinuations_StoredOnce(t *testing.T) {
	// given a line of 400 turns with 2,100 bytes each, and 1,000 turns that go on from its end
	const turns, branches, size = 400, 1000, 2100
	machine := New()
	previous := ""
	for i := range turns {
		name := fmt.Sprint("turn ", i)
		machine.Apply(beginRemembered(name, previous, strings.Repeat("i", size/3), 0))
		machine.Apply(endTurn(name, true, 1, strings.Repeat("o", size*2/3), 0))
		previous = name
	}
	for i := range branches {
		machine.Replay(beginRemembered(fmt.Sprint("branch ", i), previous, "x", 0))
	}
	if result := machine.Apply(beginRemembered("branch 0", previous, "x", 0)); len(result.Chain) != turns*size {
		t.Errorf("a branch got %d bytes", len(result.Chain))
	}
	// when the machine is asked what it holds, then each part is there once
	want := Stats{Turns: turns + branches, Bytes: turns*size + branches}
	if diff := cmp.Diff(want, machine.Stats()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
