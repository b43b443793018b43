package command

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "a proxy drains late",
			Change: mutation.Change{
				File: "proxy_shutdown.go",
				Old:  "\tpath.Drain()\n\ttime.Sleep(drainDuration(grace))",
				New:  "\ttime.Sleep(drainDuration(grace))\n\tpath.Drain()",
			},
			Run: "^TestShutdownProxy_EndsWithinGraceTime$",
		},
		{
			Name:   "a proxy waits until it is killed",
			Change: mutation.Change{File: "proxy_shutdown.go", Old: "stopShare       = 0.92", New: "stopShare       = 1.0"},
			Run:    "^TestShutdownProxy_EndsWithinGraceTime$",
		},
		{
			Name:   "a proxy leaves no time to answer abandoned requests",
			Change: mutation.Change{File: "proxy_shutdown.go", Old: "grace-proxy.ShutdownGracePeriod-processExitTime)", New: "grace+proxy.ShutdownGracePeriod)"},
			Run:    "^TestShutdownProxy_ShortGraceTime_EndsWithinIt$",
		},
	})
}
