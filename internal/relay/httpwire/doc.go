// Package httpwire is HTTP/1.1 (RFC 9112) on net/textproto over net: framing, keep-alive and reuse of connections, for both fronts.
//
// It is no net/http: a relay must know of each call how far it came (Stage), since that decides whether a message may be sent again;
// must send nothing twice by itself; and must bound what each of many clients costs. Server serves clients' connections, one goroutine
// each; Pool makes calls on connections that it keeps; Stream reads an answer that comes line by line for as long as it lasts.
//
// All sizes and times are config.Limits'.
package httpwire
