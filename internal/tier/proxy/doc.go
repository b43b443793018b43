// Package proxy is the HTTP data path of an edge machine. It accepts requests of clients, matches each to a route, sends it to an
// endpoint and forwards the response as it arrives. A request may be a turn of an agent program: then the proxy reserves the turn's
// token budget at the program stores before it sends the request, and commits the turn's usage afterwards. Package command builds one
// Proxy per process; packages viewfeed, programclient and versionstats implement or wrap the interfaces in api.go.
//
// # Request flow
//
//   - frontend.go, connlistener.go, clientconn.go: connections of clients, and closing them in a shutdown
//   - request.go: Proxy.serve matches the route, reads the body and calls sendWithRetries
//   - turn.go, usage.go: a turn's budget is reserved before the first attempt, and its usage committed after the last
//   - attempt.go: one attempt at one endpoint; retries.go: what follows an attempt without a response to forward
//   - response.go, streaming.go, eventparser.go: forwarding a response at once, as it arrives, or event by event
//   - clientresponse.go, transcript.go: the response and the events sent to the client, by all attempts together
//   - errorresponse.go, rejections.go: the proxy's own error responses, and their counts and metrics
//   - loadbalancer.go, queue.go: LoadBalancer, the Selector built on package balancer
//
// # Invariants
//
// A request runs at no more endpoints than its route's MaxAttempts, and one that must not run twice is never sent to another endpoint
// once it may have run. A client never sees an interrupted response as complete. A status that clients interpret as a guarantee that
// the request has not run is sent only if that is true. Package exchangetest checks these invariants against an oracle.
//
// # Concurrency
//
// Each request is served by one goroutine of net/http, which owns its clientRequest and, one after the other, its attempts. Proxy and LoadBalancer are safe for concurrent
// use. The other goroutines are: one per serverGeneration, which Shutdown waits for; one per listener and the one that reports rejections,
// which Serve waits for; and one per turn that is committed in the background, which Shutdown waits for within
// ShutdownGracePeriod.
package proxy
