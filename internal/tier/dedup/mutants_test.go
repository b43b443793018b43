package dedup_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "orders expire by the wall clock alone",
			Change: mutation.Change{
				File: "window.go",
				Old:  "max(w.SeenFor(now, order.Index), age) > w.length",
				New:  "age > w.length",
			},
			Run: "^TestExpiredUpTo_",
		},
		{
			Name: "orders expire by the monotonic clock alone",
			Change: mutation.Change{
				File: "window.go",
				Old:  "max(w.SeenFor(now, order.Index), age) > w.length",
				New:  "max(w.SeenFor(now, order.Index), 0*age) > w.length",
			},
			Run: "^TestExpiredUpTo_",
		},
		{
			Name: "wall clocks are assumed to agree",
			Change: mutation.Change{
				File: "window.go",
				Old:  "clockSkew = 5 * time.Second",
				New:  "clockSkew = time.Millisecond",
			},
			Run: "^TestExpiredUpTo_",
		},
		{
			Name: "every order counts as first seen at each Observe",
			Change: mutation.Change{
				File: "window.go",
				Old:  "\t\tif !known {\n\t\t\tat = now\n\t\t}\n",
				New:  "\t\tif known || !known {\n\t\t\tat = now\n\t\t}\n",
			},
			Run: "^TestExpiredUpTo_",
		},
	})
}
