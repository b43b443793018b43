package transport

import "time"

const (
	// MaxLineBytes bounds one line, its line feed included.
	MaxLineBytes = 64 << 20
	// MaxDatagramBytes bounds the payload of one datagram, so that it fits one packet.
	MaxDatagramBytes = 1400

	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 5 * time.Second

	dialTimeout        = 500 * time.Millisecond // the kernel retransmits a lost SYN only after a second
	tcpUserTimeout     = 2 * time.Second        // of unacknowledged bytes or keep-alive probes, after which the kernel breaks a connection
	keepAliveIdle      = time.Second            // until the first probe of an idle connection
	keepAliveInterval  = time.Second            // between further probes
	keepAliveCount     = 2                      // probes without an answer, after which the kernel breaks the connection
	minBackoff         = 50 * time.Millisecond  // after the first dial that failed; doubled by each further one
	maxBackoff         = 200 * time.Millisecond // bounds how long notices to a peer that is back are lost
	minUsefulLifetime  = time.Second            // a connection that lasted so long causes no backoff, though nothing was received
	acceptRetryDelay   = 50 * time.Millisecond  // after a failed accept, such as without descriptors
	maxBatchBytes      = 64 << 10               // of the lines in one write; a longer line goes alone
	initialReadBytes   = 4 << 10                // of a read buffer, which doubles while a line does not fit
	maxIdleReadBytes   = 64 << 10               // a read buffer that grew beyond this is released when it is empty
	maxPooledLineBytes = 64 << 10               // as is the buffer of a written line
	maxConnections     = 2048                   // per server; further ones are closed at once
	maxRunningHandlers = 4096                   // per connection; further calls and streams get KindBusy
	maxCachedAddresses = 1024                   // texts of the addresses of datagram senders
	streamBacklogBytes = 256 << 10              // beyond it the handler of a stream waits
)

// limits are the bounds that tests make smaller, in bytes.
type limits struct {
	lineBytes   int
	noticeBytes int // of queued notices per connection; beyond it the oldest are dropped
	bulkBytes   int // of queued notices that yield to all else, per connection; beyond it new ones are dropped
	queuedBytes int // of queued calls, answers and items per connection; beyond it a push fails
}

// defaultLimits returns the bounds of all but tests.
func defaultLimits() limits {
	return limits{lineBytes: MaxLineBytes, noticeBytes: 1 << 20, bulkBytes: 2 << 20, queuedBytes: 16 << 20}
}
