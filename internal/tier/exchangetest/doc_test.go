// Package exchangetest runs scripted clients and endpoints around the real proxy, over connections in memory and in virtual time.
//
// A scenario says byte by byte what each client, endpoint and store does: splits, delays, disconnects, late and second responses.
// After a run the oracle reads every byte on every connection and checks the invariants of package proxy: that each byte
// belongs to the right request, how often each request was sent, and that a truncated response looks incomplete. Scenarios are drawn
// from seeds (TestCampaign) or by the fuzzer, or apply one fault at each byte (boundary_test.go). Everything here is test code.
package exchangetest
