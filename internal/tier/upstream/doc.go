// Package upstream sends requests to endpoints over HTTP/1.1 connections that it pools. Package proxy is its only caller: one Pool
// for each Proxy.
//
// A connection belongs to one endpoint by its ID, never by its address, and carries one request at a time. A request is written
// at most once: nothing here retries it, and an Error reports whether any of its bytes were sent (NeverSent) or whether it may have
// run (MayHaveRun). Responses are parsed by net/http; its Transport, which pools by address and retries requests by itself, is
// not used.
//
// A response must carry the X-Attempt-Id of its request. One that carries another is a late response to an earlier request: it is
// skipped, and its connection is not reused.
//
// A Pool is safe for concurrent use. A Response belongs to one goroutine, which must close it. Goroutines: one beside the caller for
// each request that is written while its response is read, which Response.Close waits for; the reaper is a timer that runs only
// while there are idle connections, and ends with Pool.Close.
package upstream
