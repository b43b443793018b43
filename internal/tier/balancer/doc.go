// Package balancer decides, inside one proxy, which endpoint takes an attempt of a request, how long the attempt may
// last, and whether the request is sent at all. It does no I/O, starts no goroutine and reads no clock: the caller tells
// the time, as a duration since any fixed moment, and what has become of its attempts. The same calls with the same
// seed give the same decisions.
//
// # Tables and recursion
//
// Each proxy keeps its own tables of completion times, built only from calls that it made: one for each endpoint and
// for each of two kinds of call, plain calls (until the whole answer) and streams (until the first event). Package
// control holds the tables and the recursion E*_l; a Balancer solves the plan of a service again when something has
// changed, at most every 50 ms, and a choice only looks up its figures. An endpoint without calls of its own is planned
// with the pooled calls of its service.
//
// # Predicted work
//
// Requests of one service differ in size by a hundred times, and a table of raw times would only tell which request an
// endpoint happened to get. Of the two remedies, a table for each class of size and a table of times divided by the
// predicted work, the second is used. Evidence is thin: a proxy makes about one call a second to each endpoint, the
// counts fade by half in 20 s, and four classes would leave most tables without the four calls that make one. Dividing
// loses nothing in the plan: where all times of a request grow in proportion to its work, both sides of the recursion
// grow with it, so the endpoint and the bucket that minimise it stay, and one plan serves all sizes; its times are
// multiplied by the request's work again. What isn't proportional widens the tables, and the restarts come later.
//
// The work of a plain call is the mean time of its route's calls at all endpoints of the service. That of a stream is
// a + b x tokens to be read, fitted to all of the service's first events. Both are learnt from the proxy's own calls.
//
// # Charges
//
// The choice minimises the expected time from the plan with charges in seconds: for calls in flight (the proxy's own,
// those that were given up and may still run, and those of others by the load last told, which fades), for leaving the
// zone, for a cold start, for the rest of a stream at the endpoint's pace, and for reading anew a prefix that another
// endpoint holds.
package balancer
