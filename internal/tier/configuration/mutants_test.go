package configuration_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "no order is recognised again",
			Change: mutation.Change{
				File: "register.go",
				Old:  "\tcase found:\n\t\treturn Accepted\n\tcase truncated",
				New:  "\tcase truncated",
			},
			Run:    "^TestEveryArrival",
			Always: true,
		},
		{
			Name: "the number alone is compared",
			Change: mutation.Change{
				File: "chain.go",
				Old:  "if next < len(c.entries) && c.entries[next].digest == sum {",
				New:  "if next < len(c.entries) {",
			},
			Run: "^TestApply$",
		},
		{
			Name: "the version is looked at before repeats",
			Change: mutation.Change{
				File: "register.go",
				Old:  "\tsum := fingerprintOf(order)\n\tswitch",
				New:  "\tsum := fingerprintOf(order)\n\tif order.Base != r.current.Number {\n\t\treturn Conflict\n\t}\n\tswitch",
			},
			Run: "^TestApply$",
		},
		{
			Name: "the same content on another version is the same order",
			Change: mutation.Change{
				File: "chain.go",
				Old:  "	sum.Write([]byte(strconv.FormatUint(order.Base, 10)))\n",
				New:  "	_ = strconv.FormatUint\n",
			},
			Also: []mutation.Change{{
				File: "chain.go",
				Old:  "	if base < c.base {\n",
				New:  "	for _, l := range c.entries {\n		if l.digest == sum {\n			return found\n		}\n	}\n	if base < c.base {\n",
			}},
			Run: "^TestApply$",
		},
		{
			Name: "a snapshot loses the history",
			Change: mutation.Change{
				File: "register.go",
				Old:  "decodeHistory(state.HistoryBase, state.History)",
				New:  "decodeHistory(0, nil)",
			},
			Run: "^TestRegisterAgrees|^TestRepeats",
		},
		{
			Name: "what is forgotten is refused",
			Change: mutation.Change{
				File: "register.go",
				Old:  "\t\treturn HistoryTruncated\n",
				New:  "\t\treturn Conflict\n",
			},
			Run: "^TestHistoryIsBounded$",
		},
		{
			Name: "a snapshot loses what is forgotten",
			Change: mutation.Change{
				File: "register.go",
				Old:  "HistoryBase: r.history.base, ",
				New:  "",
			},
			Run: "^TestHistoryIsBounded$",
		},
		{
			Name: "what was refused is taken later",
			Change: mutation.Change{
				File: "register.go",
				Old:  "\t\tr.rememberRejection(order.Base, sum)\n",
				New:  "",
			},
			Run: "^TestApply$|^TestRefusals",
		},
		{
			Name: "a snapshot loses what was refused",
			Change: mutation.Change{
				File: "register.go",
				Old:  "\t\tr.rejected = append(r.rejected, restored)\n",
				New:  "\t\t_ = restored\n",
			},
			Run: "^TestRefusals",
		},
	})
}
