package upstream

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "an abandoned request is closed in good order",
			Change: mutation.Change{File: "connection.go", Old: "\t\tc.resetOnClose()\n", New: ""},
			Run:    "^TestDo_ContextEndsWhileWriting_ResetsConnection$",
		},
		{
			Name: "the time left is that of an earlier moment",
			Change: mutation.Change{
				File: "exchange.go",
				Old:  "e.request.appendHead((*pooled)[:0], e.pool.options.Now())",
				New:  "e.request.appendHead((*pooled)[:0], e.request.Deadline.Add(-2e9))",
			},
			Run: "^TestDo_TimeLeft_IsComputedAsRequestIsWritten$",
		},
	})
}
