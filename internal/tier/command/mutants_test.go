package command

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "a proxy says late that it ends",
			Change: mutation.Change{
				File: "proxy.go",
				Old:  "\tcarrier.Drain()\n\ttime.Sleep(drainFor(grace))",
				New:  "\ttime.Sleep(drainFor(grace))\n\tcarrier.Drain()",
			},
			Run: "^TestProxyEndsWithinItsGraceTime$",
		},
		{
			Name:   "a proxy waits until it is killed",
			Change: mutation.Change{File: "proxy.go", Old: "stopPart  = 0.92", New: "stopPart  = 1.0"},
			Run:    "^TestProxyEndsWithinItsGraceTime$",
		},
		{
			Name:   "a proxy keeps no time for what it says last",
			Change: mutation.Change{File: "proxy.go", Old: "grace-proxy.ShutdownGracePeriod-exitTime)", New: "grace+proxy.ShutdownGracePeriod)"},
			Run:    "^TestProxyEndsWithinAShortGraceTime$",
		},
	})
}
