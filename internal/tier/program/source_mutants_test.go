package program

import (
	"slices"
	"testing"

	"mastusher/internal/tools/mutation"
)

// modelTest is the test that compares the machine with the model.
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

// budgetMutants reserve or charge other amounts than they should.
var budgetMutants = []mutation.Mutant{
	{
		Name:   "the budget leaves reservations out",
		Change: budgetChange("return p.limit == 0 || maxTokens <= p.limit-p.usedTokens()", "return p.limit == 0 || p.spent+maxTokens <= p.limit"),
		Run:    modelTest,
		Always: true,
	},
	{
		Name:   "the budget leaves what was spent out",
		Change: budgetChange("return p.limit == 0 || maxTokens <= p.limit-p.usedTokens()", "return p.limit == 0 || p.reserved+maxTokens <= p.limit"),
		Run:    modelTest,
	},
	{
		Name:   "the last token of the budget can't be used",
		Change: budgetChange("return p.limit == 0 || maxTokens <= p.limit-p.usedTokens()", "return p.limit == 0 || p.usedTokens()+maxTokens < p.limit"),
		Run:    modelTest,
	},
	{
		Name:   "the last budget given counts",
		Change: budgetChange("return min(limit, budget)", "return budget"),
		Run:    modelTest,
	},
	{
		Name:   "more is charged than was reserved",
		Change: budgetChange("return min(max(tokens, 0), reserved)", "return max(tokens, 0)"),
		Run:    modelTest,
	},
	{
		Name:   "a negative amount is charged",
		Change: budgetChange("return min(max(tokens, 0), reserved)", "return min(tokens, reserved)"),
		Run:    modelTest,
	},
	{
		Name:   "a turn always costs its reservation",
		Change: budgetChange("return min(max(tokens, 0), reserved)", "return reserved"),
		Run:    modelTest,
	},
}

// turnMutants continue or count turns that they should not.
var turnMutants = []mutation.Mutant{
	{
		Name:   "a turn broken off counts",
		Change: turnChange("if isComplete && t.remembered {", "if true {"),
		Run:    modelTest,
	},
	{
		Name:   "any turn can be continued",
		Change: turnChange("return t.state == complete || t.state == imported", "return true"),
		Run:    modelTest,
	},
}

// retentionMutants forget turns early, late or never.
var retentionMutants = []mutation.Mutant{
	{
		Name:   "complete turns expire early",
		Change: retentionChange("return max(t.retainMs, endedRetentionMs) + clockMarginMs", "return t.retainMs / 2"),
		Run:    modelTest,
	},
	{
		Name:   "complete turns are retained without a margin",
		Change: retentionChange("return max(t.retainMs, endedRetentionMs) + clockMarginMs", "return t.retainMs"),
		Run:    modelTest,
	},
	{
		Name:   "nothing ever expires",
		Change: retentionChange("\tswitch t.state {\n\tcase inFlight:\n\t\treturn inFlightRetentionMs", "\tif true {\n\t\treturn maxRetentionMs\n\t}\n\tswitch t.state {\n\tcase inFlight:\n\t\treturn inFlightRetentionMs"),
		Run:    modelTest,
	},
}

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, slices.Concat(budgetMutants, turnMutants, retentionMutants))
}
