// Package httpwire implements HTTP/1.1 (RFC 9112) on net and net/textproto for the fronts: framing, keep-alive and reuse of connections.
//
// It replaces net/http since a relay must know how far each call has progressed (Stage), which decides whether a message may be retried;
// must never send a request twice by itself; and must bound the cost of each of many clients. Server serves clients' connections, each on
// one goroutine; Pool makes calls on connections that it reuses; Stream reads an unbounded answer line by line. Server and Pool may be used
// by several goroutines at once, Reader and Stream by one.
//
// The bounds on sizes and times are those of config.Limits.
package httpwire
