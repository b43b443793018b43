package program

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// scripts is the test that compares the machine with the reference.
const scripts = "^TestMachineWithoutAMistakeIsNotCaught$"

func rulesChange(old, changed string) mutation.Change {
	return mutation.Change{File: "rules.go", Old: old, New: changed}
}

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "the budget leaves reservations out",
			Change: rulesChange("return p.limit == 0 || most <= p.limit-p.committed()", "return p.limit == 0 || p.spent+most <= p.limit"),
			Run:    scripts,
			Always: true,
		},
		{
			Name:   "the budget leaves what was spent out",
			Change: rulesChange("return p.limit == 0 || most <= p.limit-p.committed()", "return p.limit == 0 || p.reserved+most <= p.limit"),
			Run:    scripts,
		},
		{
			Name:   "the last token of the budget can't be had",
			Change: rulesChange("return p.limit == 0 || most <= p.limit-p.committed()", "return p.limit == 0 || p.committed()+most < p.limit"),
			Run:    scripts,
		},
		{
			Name:   "the last budget told counts",
			Change: rulesChange("return min(limit, budget)", "return budget"),
			Run:    scripts,
		},
		{
			Name:   "more is charged than was reserved",
			Change: rulesChange("return min(max(tokens, 0), most)", "return max(tokens, 0)"),
			Run:    scripts,
		},
		{
			Name:   "less than nothing is charged",
			Change: rulesChange("return min(max(tokens, 0), most)", "return min(tokens, most)"),
			Run:    scripts,
		},
		{
			Name:   "a turn always costs its most",
			Change: rulesChange("return min(max(tokens, 0), most)", "return most"),
			Run:    scripts,
		},
		{
			Name:   "a broken turn counts",
			Change: rulesChange("if isWhole && t.remembered {", "if true {"),
			Run:    scripts,
		},
		{
			Name:   "any turn can be gone on from",
			Change: rulesChange("return t.state == whole || t.state == imported", "return true"),
			Run:    scripts,
		},
		{
			Name:   "whole turns go early",
			Change: rulesChange("return max(t.keepMs, settledMs) + clockMarginMs", "return t.keepMs / 2"),
			Run:    scripts,
		},
		{
			Name:   "whole turns are kept without a margin",
			Change: rulesChange("return max(t.keepMs, settledMs) + clockMarginMs", "return t.keepMs"),
			Run:    scripts,
		},
		{
			Name:   "nothing is ever let go",
			Change: rulesChange("\tswitch t.state {\n\tcase underWay:\n\t\treturn underWayMs", "\tif true {\n\t\treturn maxKeepMs\n\t}\n\tswitch t.state {\n\tcase underWay:\n\t\treturn underWayMs"),
			Run:    scripts,
		},
	})
}
