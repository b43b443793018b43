// Package transport carries messages between the processes of the tier: JSON lines over TCP and JSON datagrams over UDP, both
// on one address.
//
// A line is an object with its parts in a fixed order:
//
//	{"call":7,"method":"view.get","body":{...}}    asks; answered under the same number
//	{"stream":8,"method":"view.watch","body":{...}} asks for a series of items on a connection of its own
//	{"notice":0,"method":"view.offer","body":{...}} is not answered
//	{"cancel":7}                                    ends a call whose caller has stopped waiting
//	{"answer":7,"body":{...}}, {"error":7,"body":{"kind":"...","message":"..."}}
//	{"item":8,"body":{...}}, {"end":8}
//
// Between machines, lines that follow each other may come packed: a line {"packed":N}, then N bytes, a deflate stream by itself
// that goes on from the text of the last packed lines of that direction.
//
// A line that does not have this form closes its connection. Lines of one kind keep their order on a connection; a call
// may overtake a notice.
package transport

import "time"

const (
	// MaxLineBytes bounds one line, its line feed included.
	MaxLineBytes = 64 << 20
	// MaxDatagramBytes bounds the payload of one datagram, so that it fits one packet.
	MaxDatagramBytes = 1400

	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 5 * time.Second

	dialTimeout        = 500 * time.Millisecond // a lost opening packet is sent again by the kernel only after a second
	silenceTimeout     = 2 * time.Second        // unanswered bytes or probes after which a peer counts as gone
	keepAliveIdle      = time.Second
	keepAliveInterval  = time.Second
	keepAliveCount     = 2
	minimumBackoff     = 50 * time.Millisecond
	maximumBackoff     = 200 * time.Millisecond // notices to a peer that has come back are lost for so long at most
	usefulAfter        = time.Second            // a connection that lasted is no failure, though nothing came back
	acceptPause        = 50 * time.Millisecond  // after a failed accept, such as a lack of descriptors
	batchBytes         = 64 << 10               // lines that go into one write
	firstReadBytes     = 4 << 10
	keptReadBytes      = 64 << 10 // a read buffer that grew beyond this is not kept
	keptLineBytes      = 64 << 10 // nor a written line's buffer
	maxConnections     = 2048
	maxOpenCalls       = 4096 // handlers at work for one connection
	addressesKept      = 1024 // texts of datagram senders
	streamBacklogBytes = 256 << 10
)

// limits are the sizes that tests make smaller.
type limits struct {
	lineBytes   int
	noticeBytes int // notices waiting for one peer; the oldest are dropped beyond it
	queuedBytes int // calls or answers waiting for one peer; more fail
}

func defaultLimits() limits {
	return limits{lineBytes: MaxLineBytes, noticeBytes: 1 << 20, queuedBytes: 16 << 20}
}
