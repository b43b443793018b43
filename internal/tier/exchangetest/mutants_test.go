package exchangetest

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestMutantsAreNoticed lays deliberate mistakes over the proxy and its connections to endpoints: the tests here must notice each.
func TestMutantsAreNoticed(t *testing.T) {
	const (
		exchange = "../upstream/exchange.go"
		answer   = "../upstream/response.go"
		attempt  = "../proxy/attempt.go"
		call     = "../proxy/request.go"
		retries  = "../proxy/retries.go"
		deliver  = "../proxy/response.go"
		stream   = "../proxy/streaming.go"
		events   = "../proxy/eventscanner.go"
	)
	change := func(file, from, to string) mutation.Change { return mutation.Change{File: file, Old: from, New: to} }
	mutation.Test(t, []mutation.Mutant{
		{Name: "an answer's id is ignored", Run: "TestCampaign", Always: true,
			Change: change(exchange, "return len(ids) == 1 && ids[0] == e.request.AttemptID", "return true")},
		{Name: "a connection is used again after an early answer", Run: "TestEarlyResponse_LongBody_LeavesNoForeignBytes",
			Change: change(answer, "return e.writeSucceeded()", "return true")},
		{Name: "a request that runs once is sent again after a reset", Run: "TestCampaign",
			Change: change(retries, "return retryable(c.info.Route) && c.mayHaveRunAttempts < c.info.Route.MaxAttempts", "return c.mayHaveRunAttempts < c.info.Route.MaxAttempts")},
		{Name: "a reset on a kept connection counts as never sent", Run: "TestConnection_ClosesAtEachMomentOfReuse_SendsOnce",
			Change: change(exchange, "	return &Error{Kind: MayHaveRun, Reason: reason, Err: err}",
				"	if e.connection.requests > 1 {\n		return &Error{Kind: NeverSent, Reason: reason, Err: err}\n	}\n	return &Error{Kind: MayHaveRun, Reason: reason, Err: err}")},
		{Name: "a reset ends an unframed answer", Run: "TestCampaign",
			Change: change(answer, "	if err != nil {\n		reason := ReadFailed", "	if err != nil && r.CloseDelimited {\n		r.complete = true\n		return n, io.EOF\n	}\n	if err != nil {\n		reason := ReadFailed")},
		{Name: "503 is answered after a send that may have run", Run: "TestCampaign",
			Change: change(retries, "	c.mayHaveRun = true\n", "")},
		{Name: "any 503 counts as not run", Run: "TestCampaign",
			Change: change(attempt, "return notRun || response.Status == http.StatusMisdirectedRequest",
				"return notRun || response.Status == http.StatusMisdirectedRequest || response.Status == http.StatusServiceUnavailable")},
		{Name: "a stream closed inside an event looks complete", Run: "TestResponse_EndsAtEachByte_LooksIncomplete",
			Change: change(stream, "return a.response.CloseDelimited && c.scanner.insideEvent()", "return false")},
		{Name: "a stream that was taken up brings old events", Run: "TestCampaign",
			Change: change(events, "	if !s.resumed || !s.hasID && !s.hasData {", "	if s.resumed || !s.resumed {")},
		{Name: "a stream is taken up in the middle of an event", Run: "TestCampaign",
			Change: change(stream, "	c.scanner.restart()\n	return true", "	return true")},
		{Name: "any stream is taken up", Run: "TestCampaign",
			Change: change(stream, "return c.info.Route.Resumable &&", "return "),
			Also:   []mutation.Change{change(retries, "return retryable(c.info.Route) && c.mayHaveRunAttempts", "return c.mayHaveRunAttempts")}},
		{Name: "a turn's last byte doesn't wait for the stores", Run: "TestCampaign",
			Change: change(stream, "return c.turn != nil && c.turn.stateful && a.response.ContentLength > 0", "return false")},
		{Name: "an unframed answer goes on unframed", Run: "TestProxy_Killed_ResponseLooksIncomplete",
			Change: change(deliver, "	c.resetIfCloseDelimited(header)\n", "	if a.response.CloseDelimited {\n		header[\"Transfer-Encoding\"] = []string{\"identity\"}\n	}\n")},
		{Name: "a client of HTTP/1.0 sees every close as orderly", Run: "TestResponse_ClientReadsNothing_LooksIncomplete",
			Change: change(deliver, "		client.setResetOnClose(true)\n", "")},
		{Name: "work goes on for a client that left", Run: "TestClient_ClosesWhileResponseComes_EndsWork",
			Change: change(call, "context.WithDeadline(c.request.Context(), c.info.Deadline)", "context.WithDeadline(context.WithoutCancel(c.request.Context()), c.info.Deadline)")},
	})
}
