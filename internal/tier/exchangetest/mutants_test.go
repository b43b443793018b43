package exchangetest

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestMutantsAreNoticed checks that the tests of this package detect deliberate faults in the proxy and in its connections to endpoints.
func TestMutantsAreNoticed(t *testing.T) {
	const (
		exchange = "../upstream/exchange.go"
		answer   = "../upstream/response.go"
		attempt  = "../proxy/attempt.go"
		call     = "../proxy/request.go"
		retries  = "../proxy/retries.go"
		stream   = "../proxy/streaming.go"
		events   = "../proxy/eventparser.go"
		reply    = "../proxy/clientresponse.go"
	)
	change := func(file, from, to string) mutation.Change { return mutation.Change{File: file, Old: from, New: to} }
	mutation.Test(t, []mutation.Mutant{
		{Name: "a response's attempt ID is ignored", Run: "TestCampaign", Always: true,
			Change: change(exchange, "return len(ids) == 1 && ids[0] == e.request.AttemptID", "return true")},
		{Name: "a connection is reused after an early response", Run: "TestEarlyResponse_LongBody_LeavesNoForeignBytes",
			Change: change(answer, "return e.writeSucceeded()", "return true")},
		{Name: "a request that isn't retryable is sent again after a reset", Run: "TestCampaign",
			Change: change(retries, "return retryable(c.info.Route) && c.mayHaveRunAttempts < c.info.Route.MaxAttempts", "return c.mayHaveRunAttempts < c.info.Route.MaxAttempts")},
		{Name: "a reset on a reused connection counts as never sent", Run: "TestConnection_ClosesAtEachMomentOfReuse_SendsOnce",
			Change: change(exchange, "	return &Error{Kind: MayHaveRun, Reason: reason, Err: err}",
				"	if e.connection.requests > 1 {\n		return &Error{Kind: NeverSent, Reason: reason, Err: err}\n	}\n	return &Error{Kind: MayHaveRun, Reason: reason, Err: err}")},
		{Name: "a reset counts as the end of a close-delimited response", Run: "TestCampaign",
			Change: change(answer, "	if err != nil {\n		reason := ReadFailed", "	if err != nil && r.CloseDelimited {\n		r.complete = true\n		return n, io.EOF\n	}\n	if err != nil {\n		reason := ReadFailed")},
		{Name: "503 is answered after a send that may have run", Run: "TestCampaign",
			Change: change(retries, "	c.mayHaveRun = true\n", "")},
		{Name: "any 503 counts as not run", Run: "TestCampaign",
			Change: change(attempt, "return notRun || response.Status == http.StatusMisdirectedRequest",
				"return notRun || response.Status == http.StatusMisdirectedRequest || response.Status == http.StatusServiceUnavailable")},
		{Name: "a stream closed inside an event looks complete", Run: "TestResponse_EndsAtEachByte_LooksIncomplete",
			Change: change(stream, "return a.response.CloseDelimited && a.parser.insideEvent()", "return false")},
		{Name: "a resumed stream repeats old events", Run: "TestCampaign",
			Change: change(events, "	if !p.resumed || !p.hasID && !p.hasData {", "	if p.resumed || !p.resumed {")},
		{Name: "a stream is resumed in the middle of an event", Run: "TestCampaign",
			Change: change(stream, "	a.parser = newEventParser(&c.transcript, c.keepsOutput())\n", "	a.parser = newEventParser(&c.transcript, c.keepsOutput())\n	a.parser.pending = c.leftOver\n	defer func() { c.leftOver = a.parser.pending }()\n"),
			Also:   []mutation.Change{change(call, "	transcript   transcript\n", "	transcript   transcript\n	leftOver     []byte\n")}},
		{Name: "any stream is resumed", Run: "TestCampaign",
			Change: change(stream, "return c.info.Route.Resumable &&", "return "),
			Also:   []mutation.Change{change(retries, "return retryable(c.info.Route) && c.mayHaveRunAttempts", "return c.mayHaveRunAttempts")}},
		{Name: "a turn's last byte is sent before the stores have committed its end", Run: "TestCampaign",
			Change: change(reply, "	r.withholdsEnd = r.length > 0\n", "")},
		{Name: "the end of a resumed stream is judged by the length of its last part", Run: "TestResponse_EndsAtEachByte_LooksIncomplete", Always: true,
			Change: change(stream, "	a.events += batch.count\n", "	a.events += batch.count\n	c.response.length = a.response.ContentLength\n"),
			Also: []mutation.Change{change(reply, "	r.withholdsEnd = r.length > 0\n", "	r.withholdsEnd = true\n"),
				change(reply, "	if r.withholdsEnd && len(data) > 0 && r.written+int64(len(data)) == r.length {\n		r.withheld = append(r.withheld[:0],",
					"	if r.withholdsEnd && len(data) > 0 && r.length > 0 && r.written+int64(len(data)) >= r.length {\n		r.withheld = append(r.withheld,")}},
		{Name: "a close-delimited response stays close-delimited towards the client", Run: "TestProxy_Killed_ResponseLooksIncomplete",
			Change: change(reply, "	r.resetIfCloseDelimited()\n", "	if from.CloseDelimited {\n		header[\"Transfer-Encoding\"] = []string{\"identity\"}\n	}\n")},
		{Name: "an abandoned HTTP/1.0 response ends with an orderly close", Run: "TestResponse_ClientReadsNothing_LooksIncomplete",
			Change: change(reply, "		client.setResetOnClose(true)\n", "")},
		{Name: "work continues for a client that has disconnected", Run: "TestClient_ClosesWhileResponseComes_EndsWork",
			Change: change(call, "context.WithDeadline(c.request.Context(), c.info.Deadline)", "context.WithDeadline(context.WithoutCancel(c.request.Context()), c.info.Deadline)")},
	})
}
