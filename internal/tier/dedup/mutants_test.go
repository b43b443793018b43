package dedup_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "the time of day alone tells",
			Change: mutation.Change{
				File: "window.go",
				Old:  "max(w.SeenFor(now, order.Index), age) > w.length",
				New:  "age > w.length",
			},
			Run: "^TestAnOrderIsSettled",
		},
		{
			Name: "the steady clock alone tells",
			Change: mutation.Change{
				File: "window.go",
				Old:  "max(w.SeenFor(now, order.Index), age) > w.length",
				New:  "max(w.SeenFor(now, order.Index), 0*age) > w.length",
			},
			Run: "^TestAnOrderIsSettled",
		},
		{
			Name: "clocks are taken to agree",
			Change: mutation.Change{
				File: "window.go",
				Old:  "clockSkew = 5 * time.Second",
				New:  "clockSkew = time.Millisecond",
			},
			Run: "^TestAnOrderIsSettled",
		},
		{
			Name: "an order is seen anew whenever another comes",
			Change: mutation.Change{
				File: "window.go",
				Old:  "\t\tif !known {\n\t\t\tat = now\n\t\t}\n",
				New:  "\t\tif known || !known {\n\t\t\tat = now\n\t\t}\n",
			},
			Run: "^TestAnOrderIsSettled",
		},
	})
}
