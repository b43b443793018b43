// Package transport carries messages between the processes of the tier: JSON lines over TCP and datagrams over UDP, both at the same
// address. A Pool makes calls, sends notices and opens streams; a Server runs the Handlers for them, and sends and receives
// datagrams.
//
// A line is an object with its keys in a fixed order:
//
//	{"call":7,"method":"view.get","body":{...}}     a request; the answer has the same number
//	{"stream":8,"method":"view.watch","body":{...}} a request for a series of items, on a connection of its own
//	{"notice":0,"method":"view.offer","body":{...}} a message without an answer
//	{"cancel":7}                                    cancels a call whose caller has stopped waiting
//	{"answer":7,"body":{...}}, {"error":7,"body":{"kind":"...","message":"..."}}
//	{"item":8,"body":{...}}, {"end":8}
//
// Between machines, consecutive lines may be packed: a line {"packed":N} is followed by N bytes that form a complete deflate stream
// (RFC 1951), whose preset dictionary is the end of the text packed before in that direction.
//
// A line of any other form closes its connection. Lines of one kind keep their order on a connection, but a call may overtake a
// notice.
//
// Pool and Server are safe for concurrent use. A connection has one goroutine that reads, and one that writes while lines are
// queued; each handler of a call or stream runs in its own goroutine. Server.Close waits for its readers, writers and handlers,
// Pool.Close for its readers and writers.
package transport
