// Package exchangetest runs scripted clients and endpoints around the real proxy, over connections in memory and in virtual time.
//
// A scenario says byte by byte what each client, endpoint and store does: splits, delays, disconnects, late and second responses.
// After a run the oracle reads every byte on every connection and checks the invariants of package proxy: whose bytes each are,
// how often each request was sent, and whether a response that broke off looks incomplete. Scenarios come from seeds
// (TestCampaign), from the fuzzer, or try one thing at each byte (boundary_test.go). Everything here is test code.
package exchangetest
