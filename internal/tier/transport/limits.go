package transport

import "time"

const (
	// MaxLineBytes bounds a line including its line feed.
	MaxLineBytes = 64 << 20
	// MaxDatagramBytes bounds the payload of a datagram, so that the datagram fits into one packet.
	MaxDatagramBytes = 1400

	// DefaultCallTimeout bounds a call whose context has no deadline.
	DefaultCallTimeout = 5 * time.Second

	dialTimeout        = 500 * time.Millisecond // the kernel retransmits a lost SYN only after a second
	tcpUserTimeout     = 2 * time.Second        // without acknowledgements, after which the kernel breaks a connection
	keepAliveIdle      = time.Second            // until the first probe of an idle connection
	keepAliveInterval  = time.Second            // between further probes
	keepAliveCount     = 2                      // unanswered probes after which the kernel breaks the connection
	minBackoff         = 50 * time.Millisecond  // after the first failure; doubled by each further one
	maxBackoff         = 200 * time.Millisecond // also bounds how long notices to a recovered peer are lost
	minUsefulLifetime  = time.Second            // a longer-lived connection causes no backoff even if nothing was received
	acceptRetryDelay   = 50 * time.Millisecond  // after a failed accept, for example for lack of file descriptors
	maxBatchBytes      = 64 << 10               // of the lines in one write; a longer line is written alone
	initialReadBytes   = 4 << 10                // size of a read buffer, which doubles while a line does not fit
	maxIdleReadBytes   = 64 << 10               // a larger read buffer is released when it is empty
	maxPooledLineBytes = 64 << 10               // a larger buffer of a written line is not pooled
	maxConnections     = 2048                   // per server; further ones are closed immediately
	maxRunningHandlers = 4096                   // per connection; further calls and streams get KindBusy
	maxCachedAddresses = 1024                   // address texts of datagram senders
	receiveBufferBytes = 128 << 10              // requested of the system for each connection; it takes up to twice as much
	connectionBytes    = 16 << 10               // memory of an accepted connection without long lines
	largeReadBytes     = 1 << 20                // size from which a read buffer grows by half
	lineCopies         = 2                      // how often a long line is in memory: as received, and while its buffer grows or its body is decoded
	refusedStartBytes  = 64                     // of a refused line, which tell the call
	unpackWait         = 2 * time.Second        // for the memory of unpacked lines
	streamBacklogBytes = 256 << 10              // at this many queued bytes the handler of a stream blocks
)

// limits holds the bounds, in bytes, that tests can reduce.
type limits struct {
	lineBytes   int
	noticeBytes int // of queued notices per connection; beyond this the oldest are dropped
	bulkBytes   int // of queued bulk notices per connection; beyond this new ones are dropped
	queuedBytes int // of queued calls, answers and items per connection; beyond this a push fails
}

// defaultLimits returns the bounds for production.
func defaultLimits() limits {
	return limits{lineBytes: MaxLineBytes, noticeBytes: 1 << 20, bulkBytes: 2 << 20, queuedBytes: 16 << 20}
}
