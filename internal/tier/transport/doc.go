// Package transport carries messages between the processes of the tier: JSON lines over TCP and JSON datagrams over UDP, both
// on one address. A Pool makes calls, sends notices and opens streams; a Server runs the Handlers for them and exchanges
// datagrams.
//
// A line is an object with its keys in a fixed order:
//
//	{"call":7,"method":"view.get","body":{...}}     a request; answered under the same number
//	{"stream":8,"method":"view.watch","body":{...}} requests a series of items on a connection of its own
//	{"notice":0,"method":"view.offer","body":{...}} is not answered
//	{"cancel":7}                                    ends a call whose caller has stopped waiting
//	{"answer":7,"body":{...}}, {"error":7,"body":{"kind":"...","message":"..."}}
//	{"item":8,"body":{...}}, {"end":8}
//
// Between machines, consecutive lines may be packed: a line {"packed":N}, then N bytes, a complete deflate stream (RFC 1951)
// whose preset dictionary is the text of the last packed lines of that direction.
//
// A line of any other form closes its connection. Lines of one kind keep their order on a connection; a call may overtake a
// notice.
//
// Pool and Server are safe for concurrent use. A connection has one goroutine that reads, and one that writes while lines are
// queued; a handler of a call or stream runs in a goroutine of its own. Server.Close waits for its readers and handlers, but neither
// it nor Pool.Close for a writer, or Pool.Close for a reader: these end soon after, as their sockets are closed.
package transport
