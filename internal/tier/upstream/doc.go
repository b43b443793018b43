// Package upstream sends requests to endpoints over pooled HTTP/1.1 connections. Package proxy is its only caller: each Proxy has
// one Pool.
//
// Connections are pooled by the ID of their endpoint, not by its address, and carry one request at a time. A request is written at
// most once and never retried here; an Error tells whether none of its bytes were sent (NeverSent) or whether the endpoint may have
// run it (MayHaveRun). Responses are parsed by net/http, but http.Transport isn't used: it pools by address and retries requests.
//
// A response must carry the X-Attempt-Id of its request. A response with another id, or without one on a reused connection, is
// foreign: a late response to an earlier request. It is skipped, and its connection is not reused. A request that is sent again has the
// same id, so it never goes over a connection that has carried it before: a late second response to its earlier send can't be taken for
// the response to the new one.
//
// A Pool is safe for concurrent use, a Request isn't. A Response belongs to one goroutine, which must close it. A long request is written
// by a second goroutine while its response is read; Pool.Do (on failure) or Response.Close waits for that goroutine. The reaper, which
// closes idle connections that have expired, that their endpoint has closed or on which it sends, is a timer that runs only while there are
// idle connections and is stopped by Pool.Close.
package upstream
