// Package httpwire is HTTP/1.1 (RFC 9112) on net/textproto over net: framing, keep-alive and reuse of connections, for both fronts.
//
// It is used in place of net/http since a relay must know of each call how far it came (Stage), which decides whether a message may be retried;
// must send nothing twice by itself; and must bound what each of many clients costs. Server serves clients' connections, one goroutine
// each; Pool makes calls on connections that it reuses; Stream reads an answer that comes line by line for as long as it lasts. Server and Pool
// may be used by several goroutines at once, Reader and Stream by one.
//
// All bounds on sizes and times are those of config.Limits.
package httpwire
