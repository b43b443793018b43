package program

import (
	"slices"
	"testing"

	"mastusher/internal/tools/mutation"
)

// modelTest matches the test that compares the machine with the model.
const modelTest = "^TestModel_CorrectMachine_IsNotCaught$"

func budgetChange(old, changed string) mutation.Change {
	return mutation.Change{File: "budget.go", Old: old, New: changed}
}

func turnChange(old, changed string) mutation.Change {
	return mutation.Change{File: "turn.go", Old: old, New: changed}
}

func retentionChange(old, changed string) mutation.Change {
	return mutation.Change{File: "retention.go", Old: old, New: changed}
}

// budgetMutants reserve or charge a wrong number of tokens.
var budgetMutants = []mutation.Mutant{
	{
		Name:   "the tokens reserved don't count towards the budget",
		Change: budgetChange("return p.limit == 0 || maxTokens <= p.limit-p.usedTokens()", "return p.limit == 0 || p.spent+maxTokens <= p.limit"),
		Run:    modelTest,
		Always: true,
	},
	{
		Name:   "the tokens spent don't count towards the budget",
		Change: budgetChange("return p.limit == 0 || maxTokens <= p.limit-p.usedTokens()", "return p.limit == 0 || p.reserved+maxTokens <= p.limit"),
		Run:    modelTest,
	},
	{
		Name:   "the last token of the budget can't be used",
		Change: budgetChange("return p.limit == 0 || maxTokens <= p.limit-p.usedTokens()", "return p.limit == 0 || p.usedTokens()+maxTokens < p.limit"),
		Run:    modelTest,
	},
	{
		Name:   "the last budget given replaces a lower limit",
		Change: budgetChange("return min(limit, budget)", "return budget"),
		Run:    modelTest,
	},
	{
		Name:   "more is charged than was reserved",
		Change: budgetChange("return min(max(tokens, 0), reserved)", "return max(tokens, 0)"),
		Run:    modelTest,
	},
	{
		Name:   "a negative number of tokens is charged",
		Change: budgetChange("return min(max(tokens, 0), reserved)", "return min(tokens, reserved)"),
		Run:    modelTest,
	},
	{
		Name:   "a turn always costs its reservation",
		Change: budgetChange("return min(max(tokens, 0), reserved)", "return reserved"),
		Run:    modelTest,
	},
}

// turnMutants let turns be continued that can't be.
var turnMutants = []mutation.Mutant{
	{
		Name:   "an incomplete turn can be continued",
		Change: turnChange("if isComplete && t.remembered {", "if true {"),
		Run:    modelTest,
	},
	{
		Name:   "a turn in any state can be continued",
		Change: turnChange("return t.state == complete || t.state == imported", "return true"),
		Run:    modelTest,
	},
}

// retentionMutants let turns expire early or late.
var retentionMutants = []mutation.Mutant{
	{
		Name:   "complete turns expire early",
		Change: retentionChange("return max(t.requestedRetentionMs, endedRetentionMs) + clockMarginMs", "return t.requestedRetentionMs / 2"),
		Run:    modelTest,
	},
	{
		Name:   "complete turns are retained without a margin",
		Change: retentionChange("return max(t.requestedRetentionMs, endedRetentionMs) + clockMarginMs", "return t.requestedRetentionMs"),
		Run:    modelTest,
	},
	{
		Name:   "every turn is retained for the maximum",
		Change: retentionChange("\tswitch t.state {\n\tcase inFlight:\n\t\treturn inFlightRetentionMs", "\tif true {\n\t\treturn maxRetentionMs\n\t}\n\tswitch t.state {\n\tcase inFlight:\n\t\treturn inFlightRetentionMs"),
		Run:    modelTest,
	},
}

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, slices.Concat(budgetMutants, turnMutants, retentionMutants))
}
