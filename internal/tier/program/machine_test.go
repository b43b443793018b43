package program

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const startMs = 1_700_000_000_000

// begin asks for a turn that doesn't need more than its name and its most.
func begin(turn, program string, budget, most int64) Command {
	return Command{Begin: &BeginTurn{Turn: turn, Program: program, Budget: budget, Most: most, AtMs: startMs}}
}

// ask asks for a remembered turn of no program.
func ask(turn, previous, input string, atS float64) Command {
	return Command{Begin: &BeginTurn{
		Turn: turn, Previous: previous, Input: []byte(input),
		Remembered: true, KeepForS: 60, AtMs: startMs + int64(atS*1000),
	}}
}

// bring is ask with the chain of previous from another shard.
func bring(turn, previous, imported, input string) Command {
	command := ask(turn, previous, input, 0)
	command.Begin.Imported = []byte(imported)
	return command
}

func end(turn string, whole bool, tokens int64, output string, atS float64) Command {
	return Command{End: &EndTurn{
		Turn: turn, Whole: whole, Tokens: tokens, Output: []byte(output), AtMs: startMs + int64(atS*1000),
	}}
}

func taken(chain string) Result {
	if chain == "" {
		return Result{Verdict: Taken}
	}
	return Result{Verdict: Taken, Chain: []byte(chain)}
}

func refused(verdict Verdict) Result { return Result{Verdict: verdict} }

func TestApply(t *testing.T) {
	type step struct {
		command Command
		want    Result
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"given a budget when turns come up to it then they are taken and the next is refused", []step{
			{begin("a", "p", 100, 60), taken("")},
			{begin("b", "p", 100, 40), taken("")},
			{begin("c", "p", 100, 1), refused(BudgetSpent)},
			{begin("d", "p", 100, 0), taken("")},
		}},
		{"given a turn over the budget when it is asked for then it is refused and a smaller one fits", []step{
			{begin("a", "p", 100, 101), refused(BudgetSpent)},
			{begin("b", "p", 100, 100), taken("")},
		}},
		{"given no budget when turns come then none is refused", []step{
			{begin("a", "p", 0, 1<<62), taken("")},
			{begin("b", "p", 0, 1<<62), taken("")},
			{begin("c", "p", 0, 1<<62), taken("")},
		}},
		{"given differing budgets when turns come then the least counts", []step{
			{begin("a", "p", 100, 50), taken("")},
			{begin("b", "p", 80, 31), refused(BudgetSpent)},
			{begin("c", "p", 1000, 31), refused(BudgetSpent)},
			{begin("d", "p", 0, 31), refused(BudgetSpent)},
			{begin("e", "p", 1000, 30), taken("")},
		}},
		{"given two programs when one has spent its budget then the other goes on", []step{
			{begin("a", "p", 100, 100), taken("")},
			{begin("b", "q", 100, 100), taken("")},
		}},
		{"given a turn of no program when it tells a budget then it isn't bound", []step{
			{begin("a", "", 100, 101), taken("")},
		}},
		{"given a settled turn when the next comes then what wasn't handed on is free again", []step{
			{begin("a", "p", 100, 100), taken("")},
			{end("a", true, 30, "", 0), taken("")},
			{begin("b", "p", 100, 71), refused(BudgetSpent)},
			{begin("c", "p", 100, 70), taken("")},
		}},
		{"given a broken turn when the next comes then what was handed on counts", []step{
			{begin("a", "p", 100, 100), taken("")},
			{end("a", false, 30, "", 0), taken("")},
			{begin("b", "p", 100, 71), refused(BudgetSpent)},
			{begin("c", "p", 100, 70), taken("")},
		}},
		{"given more tokens than reserved when a turn ends then its most is spent", []step{
			{begin("a", "p", 100, 60), taken("")},
			{end("a", true, 1000, "", 0), taken("")},
			{begin("b", "p", 100, 41), refused(BudgetSpent)},
			{begin("c", "p", 100, 40), taken("")},
		}},
		{"given less than no tokens when a turn ends then nothing is spent or won", []step{
			{begin("a", "p", 100, 60), taken("")},
			{end("a", true, -1000, "", 0), taken("")},
			{begin("b", "p", 100, 101), refused(BudgetSpent)},
			{begin("c", "p", 100, 100), taken("")},
		}},
		{"given less than no tokens at most when a turn begins then nothing is won", []step{
			{begin("a", "p", 100, -1000), taken("")},
			{begin("b", "p", 100, 101), refused(BudgetSpent)},
		}},
		{"given a turn that was taken when it is sent again then nothing is reserved twice", []step{
			{begin("a", "p", 100, 60), taken("")},
			{begin("a", "p", 100, 60), taken("")},
			{begin("b", "p", 100, 40), taken("")},
			{end("a", true, 60, "", 0), taken("")},
			{begin("a", "p", 100, 60), taken("")},
			{end("a", true, 60, "", 0), taken("")},
			{begin("c", "p", 100, 1), refused(BudgetSpent)},
		}},
		{"given a refused turn when room is free again then it is judged anew", []step{
			{begin("a", "p", 100, 100), taken("")},
			{begin("b", "p", 100, 50), refused(BudgetSpent)},
			{end("a", true, 50, "", 0), taken("")},
			{begin("b", "p", 100, 50), taken("")},
		}},
		{"given a line of turns when each goes on from the last then it gets all before it", []step{
			{ask("a", "", "[in a]", 0), taken("")},
			{end("a", true, 1, "[out a]", 0), taken("")},
			{ask("b", "a", "[in b]", 1), taken("[in a][out a]")},
			{end("b", true, 1, "[out b]", 1), taken("")},
			{ask("c", "b", "[in c]", 2), taken("[in a][out a][in b][out b]")},
			{ask("d", "a", "[in d]", 2), taken("[in a][out a]")},
		}},
		{"given a turn under way when another goes on from it then there is no such turn", []step{
			{ask("a", "", "[in a]", 0), taken("")},
			{ask("b", "a", "[in b]", 0), refused(NoSuchTurn)},
		}},
		{"given a broken turn when another goes on from it then there is no such turn", []step{
			{ask("a", "", "[in a]", 0), taken("")},
			{end("a", false, 1, "[out a]", 0), taken("")},
			{ask("b", "a", "[in b]", 0), refused(NoSuchTurn)},
		}},
		{"given a turn that isn't remembered when another goes on from it then there is no such turn", []step{
			{begin("a", "p", 0, 1), taken("")},
			{end("a", true, 1, "[out a]", 0), taken("")},
			{ask("b", "a", "[in b]", 0), refused(NoSuchTurn)},
		}},
		{"given a turn that goes on from itself when it comes then there is no such turn", []step{
			{ask("a", "a", "[in a]", 0), refused(NoSuchTurn)},
		}},
		{"given a broken turn when it is called whole later then the first end wins", []step{
			{ask("a", "", "[in a]", 0), taken("")},
			{end("a", false, 1, "", 0), taken("")},
			{end("a", true, 1, "[out a]", 0), refused(Unknown)},
			{end("a", false, 1, "", 0), taken("")},
			{ask("b", "a", "[in b]", 0), refused(NoSuchTurn)},
		}},
		{"given a whole turn when it is called broken later then the first end wins", []step{
			{ask("a", "", "[in a]", 0), taken("")},
			{end("a", true, 1, "[out a]", 0), taken("")},
			{end("a", false, 1, "", 0), taken("")},
			{end("a", true, 1, "[other]", 0), taken("")},
			{ask("b", "a", "[in b]", 0), taken("[in a][out a]")},
		}},
		{"given a turn with a chain when it is sent again before and after its end then it gets the same chain", []step{
			{ask("a", "", "[in a]", 0), taken("")},
			{end("a", true, 1, "[out a]", 0), taken("")},
			{ask("b", "a", "[in b]", 0), taken("[in a][out a]")},
			{ask("b", "a", "[in b]", 0), taken("[in a][out a]")},
			{end("b", false, 1, "", 0), taken("")},
			{ask("b", "a", "[in b]", 0), taken("[in a][out a]")},
		}},
		{"given a turn of another shard when it is imported then the refused turn is taken", []step{
			{ask("b", "a", "[in b]", 0), refused(NoSuchTurn)},
			{bring("b", "a", "[chain of a]", "[in b]"), taken("[chain of a]")},
			{end("b", true, 1, "[out b]", 0), taken("")},
			{ask("c", "b", "[in c]", 0), taken("[chain of a][in b][out b]")},
			{ask("d", "a", "[in d]", 0), taken("[chain of a]")},
		}},
		{"given a turn held here when it is imported all the same then the one here counts", []step{
			{ask("a", "", "[in a]", 0), taken("")},
			{end("a", true, 1, "[out a]", 0), taken("")},
			{bring("b", "a", "[other]", "[in b]"), taken("[in a][out a]")},
		}},
		{"given no such turn when it is refused then nothing is reserved", []step{
			{Command{Begin: &BeginTurn{
				Turn: "a", Program: "p", Budget: 100, Most: 100, Remembered: true, Previous: "x", AtMs: startMs,
			}}, refused(NoSuchTurn)},
			{begin("b", "p", 100, 100), taken("")},
		}},
		{"given a spent budget and no such turn when a turn comes then the budget goes first", []step{
			{begin("a", "p", 100, 100), taken("")},
			{Command{Begin: &BeginTurn{
				Turn: "b", Program: "p", Budget: 100, Most: 1, Remembered: true, Previous: "x", AtMs: startMs,
			}}, refused(BudgetSpent)},
		}},
		{"given a turn that isn't remembered when it names an earlier one then that is ignored", []step{
			{Command{Begin: &BeginTurn{Turn: "a", Previous: "x", AtMs: startMs}}, taken("")},
		}},
		{"given no name or nothing to do when a command comes then it is unknown", []step{
			{begin("", "p", 100, 1), refused(Unknown)},
			{end("", true, 1, "", 0), refused(Unknown)},
			{end("x", true, 1, "", 0), refused(Unknown)},
			{Command{}, refused(Unknown)},
		}},
		{"given names that aren't UTF-8 when they come again then they are the same", []step{
			{begin("a\xff", "p\xfe", 100, 100), taken("")},
			{begin("a\ufffd", "p\ufffd", 100, 100), taken("")},
			{begin("b", "p\ufffd", 100, 1), refused(BudgetSpent)},
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

func TestChain(t *testing.T) {
	// given a whole turn that goes on from an imported one, one that is under way and one that was broken off
	machine := New()
	machine.Apply(bring("b", "a", "[chain of a]", "[in b]"))
	machine.Apply(end("b", true, 1, "[out b]", 0))
	machine.Apply(ask("c", "b", "[in c]", 0))
	machine.Apply(ask("d", "b", "[in d]", 0))
	machine.Apply(end("d", false, 1, "[out d]", 0))

	// when their chains are asked for, then only what is whole is there
	tests := map[string]string{"a": "[chain of a]", "b": "[chain of a][in b][out b]", "c": "", "d": "", "x": ""}
	for name, want := range tests {
		chain, found := machine.Chain(name)
		if found != (want != "") || string(chain) != want {
			t.Errorf("Chain(%q) = %q, %v, want %q", name, chain, found, want)
		}
	}
}

func TestChainsAreKeptOnce(t *testing.T) {
	// given a line of 400 turns with 2,100 bytes each, and 1,000 turns that go on from its end
	const turns, branches, size = 400, 1000, 2100
	machine := New()
	previous := ""
	for i := range turns {
		name := fmt.Sprint("turn ", i)
		machine.Apply(ask(name, previous, strings.Repeat("i", size/3), 0))
		machine.Apply(end(name, true, 1, strings.Repeat("o", size*2/3), 0))
		previous = name
	}
	for i := range branches {
		machine.Replay(ask(fmt.Sprint("branch ", i), previous, "x", 0))
	}
	if result := machine.Apply(ask("branch 0", previous, "x", 0)); len(result.Chain) != turns*size {
		t.Errorf("a branch got %d bytes", len(result.Chain))
	}
	// when the machine is asked what it holds, then each part is there once
	want := Stats{Turns: turns + branches, Bytes: turns*size + branches}
	if diff := cmp.Diff(want, machine.Stats()); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
