package proxy

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// Patterns of the tests that detect the mutants.
const (
	maxAttemptsTest  = "^TestRequest_AnyFailures_StaysWithinMaxAttempts$"
	timeLeftTest     = "^TestTimeLeft_IsAtMostClientsAndRoutes$"
	clientClosesTest = "^TestClient_Closes_EndsAllWorkForIt$"
	routeTimeoutTest = "^TestRequest_RouteTimeout_EndsInEveryState$"
	budgetTest       = "^TestTurn_DidNotRun_ReleasesReservation$"
)

func TestMutantsAreNoticed(t *testing.T) {
	change := func(file, from, to string) mutation.Change { return mutation.Change{File: file, Old: from, New: to} }
	mutation.Test(t, []mutation.Mutant{
		{Name: "one attempt too many", Run: maxAttemptsTest, Always: true,
			Change: change("retries.go", "c.mayHaveRunAttempts < c.info.Route.MaxAttempts", "c.mayHaveRunAttempts <= c.info.Route.MaxAttempts")},
		{Name: "one attempt too many after a failure", Run: maxAttemptsTest,
			Change: change("retries.go", "c.mayHaveRunAttempts+1 < c.info.Route.MaxAttempts", "c.mayHaveRunAttempts < c.info.Route.MaxAttempts")},
		{Name: "only error responses count as attempts", Run: maxAttemptsTest,
			Change: change("retries.go", "\tc.mayHaveRunAttempts++\n", "\tif result == ErrorResponse {\n\t\tc.mayHaveRunAttempts++\n\t}\n")},
		{Name: "503 after a request may have run once", Run: maxAttemptsTest,
			Change: change("retries.go", "case !c.mayHaveRun:", "case c.mayHaveRunAttempts < 2:")},
		{Name: "the client's limit applies though the route's is shorter", Run: timeLeftTest,
			Change: change("request.go", "allowed = min(allowed, timeLeft)", "allowed = timeLeft")},
		{Name: "endpoints are sent no time left", Run: timeLeftTest,
			Change: change("request.go", "\t\tDeadline:  c.info.Deadline,\n", "")},
		{Name: "a request continues after its client has closed", Run: clientClosesTest,
			Change: change("request.go", "context.WithDeadline(c.request.Context(), c.info.Deadline)",
				"context.WithDeadline(context.WithoutCancel(c.request.Context()), c.info.Deadline)")},
		{Name: "a request stays queued after its client has closed", Run: "^TestLoadBalancer_ClientCloses_LeavesNothingQueued$",
			Change: change("queue.go", "\tb.queueFor(waiter.info.Service.Name).Remove(id)\n", "")},
		{Name: "a selection made after the client has closed is not released", Run: "^TestQueuedRequest_SelectedAsClientCloses_GivesSelectionBack$",
			Change: change("queue.go", "\t\tif result.err == nil {\n", "\t\tif result.err != nil {\n")},
		{Name: "no request ends at the route's timeout", Run: routeTimeoutTest,
			Change: change("request.go", "allowed = time.Duration(routeTimeoutMs) * time.Millisecond", "allowed = time.Minute")},
		{Name: "an interrupted turn spends its whole reservation", Run: budgetTest,
			Change: change("turn.go", "Tokens: sent.count * t.tokensPerEvent", "Tokens: 1 << 40")},
		{Name: "a turn that is over its budget is sent", Run: budgetTest,
			Change: change("turn.go", "\t\tt.reserved = false\n\t\treturn apierror.BudgetExhausted, nil, nil", "\t\treturn apierror.None, nil, nil")},
		{Name: "a turn that was never sent isn't committed", Run: budgetTest,
			Change: change("request.go", "\tdefer c.commitUnfinishedTurn()\n", "")},
		{Name: "commits are retried too late", Run: "^TestUsageCommitter_CommitLost_RetriesWithinBound$",
			Change: change("usage.go", "minCommitBackoff = 50 * time.Millisecond", "minCommitBackoff = 500 * time.Millisecond")},
		{Name: "requests are not abandoned before the process ends", Run: "^TestShutdown_AbandonedRequests_GetErrorResponses$",
			Change: change("frontend.go", "\tfailure := f.awaitAllClosed(ctx)\n\tf.cancelRequests()", "\tfailure := f.awaitAllClosed(ctx)")},
		{Name: "404 without a configuration", Run: "^TestRequest_NoConfiguration_IsNotDenied$",
			Change: change("request.go", "\t\twriteError(w, apierror.NotReady, 0)", "\t\twriteError(w, apierror.NoRoute, 0)")},
		{Name: "404 for an unknown verdict", Run: "^TestTurn_StoreFaults_AreNoDenial$",
			Change: change("turn.go", "\treturn apierror.StateUnavailable, nil, nil\n}", "\treturn apierror.TurnNotFound, nil, nil\n}")},
		{Name: "the least urgent requests go first", Run: "^TestPriority_Overload_MoreUrgentServedNoLess$",
			Change: change("../balancer/queue.go", "cmp.Compare(w.Priority, o.Priority)", "cmp.Compare(o.Priority, w.Priority)")},
		{Name: "a drain interrupts streams", Run: "^TestViewChange_PendingRequests_AreNotBrokenOff$",
			Change: change("server.go", "if p.draining.CompareAndSwap(false, true) {\n", "if p.draining.CompareAndSwap(false, true) {\n\t\tp.frontend.cancelRequests()\n")},
		{Name: "commits delay the end of a shutdown", Run: "^TestShutdown_Abandoning_TakesGracePeriodAtMost$",
			Change: change("usage.go", "waitWithTimeout(u.drained, finalCommitsTimeout)", "waitWithTimeout(u.drained, 2*ShutdownGracePeriod)")},
	})
}
