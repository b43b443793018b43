package upstream

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "a request goes over a connection that has carried it",
			Change: mutation.Change{
				File: "request.go",
				Old:  `r.AttemptID != "" && !slices.Contains(r.carriedBy, c)`,
				New:  `r.AttemptID != ""`,
			},
			Run:    "^TestDo_RefusedRequestSentAgain_LateCopyOfRefusalIsNoAnswer$",
			Always: true,
		},
		{
			Name:   "a cancelled request's connection is closed without a reset",
			Change: mutation.Change{File: "connection.go", Old: "\t\tc.resetOnClose()\n", New: ""},
			Run:    "^TestDo_ContextEndsWhileWriting_ResetsConnection$",
		},
		{
			Name: "the time left isn't computed when the request is written",
			Change: mutation.Change{
				File: "exchange.go",
				Old:  "e.request.appendHead((*pooled)[:0], e.pool.options.Now())",
				New:  "e.request.appendHead((*pooled)[:0], e.request.Deadline.Add(-2e9))",
			},
			Run: "^TestDo_TimeLeft_IsComputedAsRequestIsWritten$",
		},
	})
}
