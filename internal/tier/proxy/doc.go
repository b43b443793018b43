// Package proxy is the HTTP data path of an edge machine: it takes the requests of clients, matches their route, has turns of
// programs begun and committed by the program stores, sends each request to an endpoint and forwards the response as it comes.
// Package command builds one Proxy per process; packages viewfeed, programclient and versionstats implement or wrap the
// interfaces in api.go.
//
// # The way of a request
//
//   - frontend.go, connlistener.go, clientconn.go: connections of clients, and the end of them in a shutdown
//   - request.go: Proxy.serve matches the route, reads the body and runs proxyLoop
//   - turn.go, usage.go: a turn's budget is reserved before the first attempt and committed after the last
//   - attempt.go: one attempt at one endpoint; retries.go: what follows an attempt that brought no response to forward
//   - response.go, streaming.go, eventscanner.go: forwarding: at once when complete, as it comes, or event by event
//   - errorresponse.go, rejections.go: the proxy's own error responses, and their counts and metrics
//   - loadbalancer.go, queue.go: the Selector that decides by package balancer
//
// # Invariants
//
// A request must not run at more endpoints than its route's MaxAttempts, and one that must not run twice never goes on to
// another endpoint once it may have run. A client must never see a response that broke off as complete. A status that clients
// read as a promise that the request has not run is only given where that is so. Package exchangetest checks these against an
// oracle.
//
// # Concurrency
//
// Each request is served by one goroutine of net/http, which owns its clientRequest. Proxy and LoadBalancer are safe for
// concurrent use. Goroutines beside the requests: one per serverGeneration and one for readiness, which end when their listeners are
// closed; one that reports rejections, which Serve ends as it returns; and one per turn that is committed beside its request, which
// Shutdown waits for within ShutdownGracePeriod. Nothing waits for the others.
package proxy
