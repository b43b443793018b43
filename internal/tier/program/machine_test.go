package program

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const startMs = 1_700_000_000_000

// beginTurn returns a BeginTurn of a turn whose input and output aren't stored.
func beginTurn(turn, program string, budget, maxTokens int64) Command {
	return Command{Begin: &BeginTurn{Turn: turn, Program: program, Budget: budget, MaxTokens: maxTokens, AtMs: startMs}}
}

// beginRemembered returns a BeginTurn of a remembered turn without a program.
func beginRemembered(turn, previous, input string, atS float64) Command {
	return Command{Begin: &BeginTurn{
		Turn: turn, Previous: previous, Input: []byte(input),
		Remembered: true, KeepForS: 60, AtMs: startMs + int64(atS*1000),
	}}
}

// beginImporting returns a BeginTurn of a remembered turn that imports the chain of previous from another shard.
func beginImporting(turn, previous, imported, input string) Command {
	command := beginRemembered(turn, previous, input, 0)
	command.Begin.Imported = []byte(imported)
	return command
}

func endTurn(turn string, isComplete bool, tokens int64, output string, atS float64) Command {
	return Command{End: &EndTurn{
		Turn: turn, Complete: isComplete, Tokens: tokens, Output: []byte(output), AtMs: startMs + int64(atS*1000),
	}}
}

func accepted(chain string) Result {
	if chain == "" {
		return Result{Verdict: Accepted}
	}
	return Result{Verdict: Accepted, Chain: []byte(chain)}
}

func rejected(verdict Verdict) Result { return Result{Verdict: verdict} }

// applyCase is a series of commands with their expected results.
type applyCase struct {
	name  string
	steps []applyStep
}

type applyStep struct {
	command Command
	want    Result
}

// testApply applies the commands of each case to a new machine.
func testApply(t *testing.T, tests []applyCase) {
	t.Helper()
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

func TestMachine_Apply_Budgets(t *testing.T) {
	testApply(t, []applyCase{
		{"given a budget when turns reserve all of it then they are accepted and the next one is rejected", []applyStep{
			{beginTurn("a", "p", 100, 60), accepted("")},
			{beginTurn("b", "p", 100, 40), accepted("")},
			{beginTurn("c", "p", 100, 1), rejected(BudgetExceeded)},
			{beginTurn("d", "p", 100, 0), accepted("")},
		}},
		{"given a turn over the budget when it begins then it is rejected and a smaller one is accepted", []applyStep{
			{beginTurn("a", "p", 100, 101), rejected(BudgetExceeded)},
			{beginTurn("b", "p", 100, 100), accepted("")},
		}},
		{"given no budget when turns begin then none is rejected", []applyStep{
			{beginTurn("a", "p", 0, 1<<62), accepted("")},
			{beginTurn("b", "p", 0, 1<<62), accepted("")},
			{beginTurn("c", "p", 0, 1<<62), accepted("")},
		}},
		{"given different budgets when turns begin then the lowest one applies", []applyStep{
			{beginTurn("a", "p", 100, 50), accepted("")},
			{beginTurn("b", "p", 80, 31), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 1000, 31), rejected(BudgetExceeded)},
			{beginTurn("d", "p", 0, 31), rejected(BudgetExceeded)},
			{beginTurn("e", "p", 1000, 30), accepted("")},
		}},
		{"given two programs when one has spent its budget then the other isn't affected", []applyStep{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{beginTurn("b", "q", 100, 100), accepted("")},
		}},
		{"given a turn without a program when it gives a budget then the budget is ignored", []applyStep{
			{beginTurn("a", "", 100, 101), accepted("")},
		}},
		{"given a committed turn when the next begins then tokens that weren't sent are released", []applyStep{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{endTurn("a", true, 30, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 71), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 100, 70), accepted("")},
		}},
		{"given an incomplete turn when the next begins then the tokens sent are spent", []applyStep{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{endTurn("a", false, 30, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 71), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 100, 70), accepted("")},
		}},
		{"given more tokens than reserved when a turn ends then its reservation is spent", []applyStep{
			{beginTurn("a", "p", 100, 60), accepted("")},
			{endTurn("a", true, 1000, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 41), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 100, 40), accepted("")},
		}},
		{"given a negative number of tokens when a turn ends then the remaining budget is unchanged", []applyStep{
			{beginTurn("a", "p", 100, 60), accepted("")},
			{endTurn("a", true, -1000, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 101), rejected(BudgetExceeded)},
			{beginTurn("c", "p", 100, 100), accepted("")},
		}},
		{"given a negative MaxTokens when a turn begins then the remaining budget is unchanged", []applyStep{
			{beginTurn("a", "p", 100, -1000), accepted("")},
			{beginTurn("b", "p", 100, 101), rejected(BudgetExceeded)},
		}},
	})
}

func TestMachine_Apply_Retries(t *testing.T) {
	testApply(t, []applyCase{
		{"given an accepted turn when its commands are retried then its tokens are reserved and spent once", []applyStep{
			{beginTurn("a", "p", 100, 60), accepted("")},
			{beginTurn("a", "p", 100, 60), accepted("")},
			{beginTurn("b", "p", 100, 40), accepted("")},
			{endTurn("a", true, 60, "", 0), accepted("")},
			{beginTurn("a", "p", 100, 60), accepted("")},
			{endTurn("a", true, 60, "", 0), accepted("")},
			{beginTurn("c", "p", 100, 1), rejected(BudgetExceeded)},
		}},
		{"given a rejected turn when budget is released then a retry is decided anew", []applyStep{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{beginTurn("b", "p", 100, 50), rejected(BudgetExceeded)},
			{endTurn("a", true, 50, "", 0), accepted("")},
			{beginTurn("b", "p", 100, 50), accepted("")},
		}},
		{"given a turn that ended as incomplete when it ends as complete later then the first end wins", []applyStep{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", false, 1, "", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), rejected(UnknownTurn)},
			{endTurn("a", false, 1, "", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
		}},
		{"given a turn that ended as complete when it ends as incomplete later then the first end wins", []applyStep{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{endTurn("a", false, 1, "", 0), accepted("")},
			{endTurn("a", true, 1, "[other]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), accepted("[in a][out a]")},
		}},
		{"given a turn with a chain when it is retried before and after its end then it gets the same chain", []applyStep{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), accepted("[in a][out a]")},
			{beginRemembered("b", "a", "[in b]", 0), accepted("[in a][out a]")},
			{endTurn("b", false, 1, "", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), accepted("[in a][out a]")},
		}},
	})
}

func TestMachine_Apply_Chains(t *testing.T) {
	testApply(t, []applyCase{
		{"given a series of turns when a turn continues another then it gets the chain of that one", []applyStep{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 1), accepted("[in a][out a]")},
			{endTurn("b", true, 1, "[out b]", 1), accepted("")},
			{beginRemembered("c", "b", "[in c]", 2), accepted("[in a][out a][in b][out b]")},
			{beginRemembered("d", "a", "[in d]", 2), accepted("[in a][out a]")},
		}},
		{"given a turn in flight when another continues it then it isn't found", []applyStep{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
		}},
		{"given an incomplete turn when another continues it then it isn't found", []applyStep{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", false, 1, "[out a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
		}},
		{"given a turn that isn't remembered when another continues it then it isn't found", []applyStep{
			{beginTurn("a", "p", 0, 1), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
		}},
		{"given a turn that continues itself when it begins then it isn't found", []applyStep{
			{beginRemembered("a", "a", "[in a]", 0), rejected(TurnNotFound)},
		}},
		{"given a turn rejected for a chain of another shard when it imports that chain then it is accepted", []applyStep{
			{beginRemembered("b", "a", "[in b]", 0), rejected(TurnNotFound)},
			{beginImporting("b", "a", "[chain of a]", "[in b]"), accepted("[chain of a]")},
			{endTurn("b", true, 1, "[out b]", 0), accepted("")},
			{beginRemembered("c", "b", "[in c]", 0), accepted("[chain of a][in b][out b]")},
			{beginRemembered("d", "a", "[in d]", 0), accepted("[chain of a]")},
		}},
		{"given a turn stored in this shard when its chain is imported as well then the stored one is used", []applyStep{
			{beginRemembered("a", "", "[in a]", 0), accepted("")},
			{endTurn("a", true, 1, "[out a]", 0), accepted("")},
			{beginImporting("b", "a", "[other]", "[in b]"), accepted("[in a][out a]")},
		}},
		{"given a turn whose previous one isn't found when it is rejected then nothing is reserved", []applyStep{
			{Command{Begin: &BeginTurn{
				Turn: "a", Program: "p", Budget: 100, MaxTokens: 100, Remembered: true, Previous: "x", AtMs: startMs,
			}}, rejected(TurnNotFound)},
			{beginTurn("b", "p", 100, 100), accepted("")},
		}},
		{"given a spent budget and a missing previous turn when a turn begins then the budget takes precedence", []applyStep{
			{beginTurn("a", "p", 100, 100), accepted("")},
			{Command{Begin: &BeginTurn{
				Turn: "b", Program: "p", Budget: 100, MaxTokens: 1, Remembered: true, Previous: "x", AtMs: startMs,
			}}, rejected(BudgetExceeded)},
		}},
		{"given a turn that isn't remembered when it names a previous one then the name is ignored", []applyStep{
			{Command{Begin: &BeginTurn{Turn: "a", Previous: "x", AtMs: startMs}}, accepted("")},
		}},
	})
}

func TestMachine_Apply_Names(t *testing.T) {
	testApply(t, []applyCase{
		{"given a command that is empty or names no known turn when it is applied then the turn is unknown", []applyStep{
			{beginTurn("", "p", 100, 1), rejected(UnknownTurn)},
			{endTurn("", true, 1, "", 0), rejected(UnknownTurn)},
			{endTurn("x", true, 1, "", 0), rejected(UnknownTurn)},
			{Command{}, rejected(UnknownTurn)},
		}},
		{"given names that aren't UTF-8 when they are sent again with replacement characters then they are the same", []applyStep{
			{beginTurn("a\xff", "p\xfe", 100, 100), accepted("")},
			{beginTurn("a\ufffd", "p\ufffd", 100, 100), accepted("")},
			{beginTurn("b", "p\ufffd", 100, 1), rejected(BudgetExceeded)},
		}},
	})
}

func TestMachine_Chain_OnlyOfCompleteTurns(t *testing.T) {
	// given a complete turn that continues an imported chain, a turn in flight and an incomplete one
	machine := New()
	machine.Apply(beginImporting("b", "a", "[chain of a]", "[in b]"))
	machine.Apply(endTurn("b", true, 1, "[out b]", 0))
	machine.Apply(beginRemembered("c", "b", "[in c]", 0))
	machine.Apply(beginRemembered("d", "b", "[in d]", 0))
	machine.Apply(endTurn("d", false, 1, "[out d]", 0))

	// when their chains are read, then only those of the complete turn and the imported chain are found
	tests := map[string]string{"a": "[chain of a]", "b": "[chain of a][in b][out b]", "c": "", "d": "", "x": ""}
	for name, want := range tests {
		chain, found := machine.Chain(name)
		if found != (want != "") || string(chain) != want {
			t.Errorf("Chain(%q) = %q, %v, want %q", name, chain, found, want)
		}
	}
}

func TestChains_ManyContinuations_StoredOnce(t *testing.T) {
	// given a chain of 400 turns with 2,100 bytes each, and 1,000 turns that continue the last of them
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
		t.Errorf("a turn that continues the chain got %d bytes, not all of it", len(result.Chain))
	}
	// when the machine's stats are read, then each input and output is counted once
	want := Stats{Turns: turns + branches, Bytes: turns*size + branches}
	if diff := cmp.Diff(want, machine.Stats()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
