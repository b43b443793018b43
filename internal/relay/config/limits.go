package config

import (
	"time"

	"mastusher/internal/relay/wire"
)

// Limits holds every limit on sizes, counts and times outside the decision module. It is set once, when the configuration is
// read, and passed to all packages that need it.
type Limits struct {
	Cores       int
	MemoryBytes int64 // memory of the process, in bytes
	DiskBytes   int64 // bytes in the state folder
	Sockets     int   // file descriptors of the process
	HeadSize    int   // bytes of the first line and headers of a request or response
	BodySize    int   // bytes of the body of a request or response
	NameSize    int   // bytes of an id or key

	ClientConnections int // open connections of clients
	Queue             int // events waiting for the core; a full queue refuses messages
	IdleEndpoints     int // idle connections to all endpoints together
	IdlePerEndpoint   int // idle connections to one endpoint

	Round             time.Duration // interval between turns of the core
	AnswerWithin      time.Duration // an arrival older than this is refused: its client is about to time out
	BusyRetry         time.Duration // retry-after of a refusal that the module did not decide
	ConnectTimeout    time.Duration
	IdleSocket        time.Duration // a pooled connection that is idle for this long is closed
	IdleTrustMin      time.Duration // a connection that was idle for less is always reused
	IdleTrustDoubling time.Duration // after a reused connection was lost, the time in which the trusted idle time doubles
	AnswerRead        time.Duration // time from the first byte of an answer within which it must be complete
	MaxInterim        int           // maximum answers to one call, including interim ones (1xx)
	FrontIdle         time.Duration // maximum idle time of a client's connection
	FrontRead         time.Duration // limit for a request, from its first byte; for the first of a connection, from the connection's start
	FrontWrite        time.Duration // time within which a client must have read its answer
	ErrorDelay        time.Duration // delay after an error before the next request on the connection is read
	FrontLinger       time.Duration // how long data after an invalid request is still read
	WatchTimeout      time.Duration // a watch without data for this long has timed out
	WatchRetry        time.Duration // delay before a watch that failed to open is opened again
	WatchSpread       time.Duration // period over which the relays spread reopening their watches after all timed out together
	EndedRetention    time.Duration // how long the ids of ended messages are kept
	MaxEnded          int           // maximum number of ids of ended messages
	NoticeTimeout     time.Duration // of a call with notices
	NoticeRetry       time.Duration // delay before notices are sent again; doubles with each consecutive failure
	NoticeRetryMax    time.Duration // upper limit of that delay
	ParallelNotices   int           // concurrent calls of a front that sends a single notice per call
	MaxRemembered     int           // ended messages whose outcomes are kept to answer resubmissions
	NoticesPerCall    int           // maximum notices in a call
	WindowMargin      time.Duration // no repeat of a keyed message begins in this last part of its deduplication window
	DrainSends        time.Duration // how long after SIGTERM attempts may still begin
	DrainExit         time.Duration // time after SIGTERM within which the core ends
	DrainLinger       time.Duration // how long clients are still answered
	DrainClose        time.Duration // time within which their connections are then closed

	CaptureQueue  int           // batches waiting for a capture's writer
	CaptureChunk  int           // approximate size of a chunk, in bytes before compression
	CaptureWithin time.Duration // a chunk is written after this time even if it is smaller

	PluginStart            time.Duration // limit for the start of an instance
	PluginBudget           time.Duration // for all plug-ins that inspect an arriving message, out of the 400 ms that its client waits
	PluginGrace            time.Duration // a call that can't be stopped is abandoned this long after its deadline
	PluginMemory           int64         // memory of all instances together, in bytes
	PluginStack            int           // maximum stack of an instance, in values of eight bytes
	PluginCopyBytes        int           // bytes that the relay copies from an instance's memory in one call
	PluginThreads          int           // threads that run plug-ins concurrently
	PluginYields           bool          // these threads yield to the relay's other threads
	PluginBurst            time.Duration // processor time that a plug-in may use in a burst beyond its share
	PluginBreakerThreshold float64       // count of failures, less a fraction of the successful calls, that opens a circuit breaker
	PluginBreakerOpen      time.Duration // how long a circuit breaker stays open at first
	PluginBreakerOpenMax   time.Duration // upper limit of the time that it stays open
	PluginBreakerTrials    int           // consecutive successful calls that close it
	PluginBreakers         int           // partners that a plug-in keeps circuit breakers for, at most
	PluginEndQueue         int           // queued calls of a plug-in for ended messages
	PluginLines            int           // log lines of a plug-in per second, and in one call
	PluginReason           int           // bytes of a log line or reason
	PluginHeaders          int           // headers that plug-ins may set on one message
	PluginValue            int           // bytes of a header's value
	PluginHeaderSize       int           // bytes of all headers that plug-ins set on one message
	PluginSample           int           // bytes of an answer that plug-ins may see
	PluginRetryAfterMax    time.Duration // maximum retry-after in a plug-in's verdict
	PluginSave             time.Duration // interval at which the plug-ins' stores are saved
	PluginCache            int64         // bytes of compiled modules in the cache
}

// limits reads the section limits, and derives the other limits from it and from settings.
func (p *parser) limits(settings *wire.Settings) Limits {
	limits := Limits{
		Cores:       max(1, int(p.number("limits.cores", 1, 0.01, 1024))),
		MemoryBytes: int64(p.number("limits.memory_mb", 192, 16, 1<<20)) << 20,
		DiskBytes:   int64(p.number("limits.disk_mb", 3, 0.5, 1<<20) * (1 << 20)),
		Sockets:     int(p.number("limits.sockets", 1024, 64, 1<<20)),
		HeadSize:    16 << 10, BodySize: 64 << 10, NameSize: 256,
		Queue: 4096, IdlePerEndpoint: 16,
		AnswerWithin: 300 * time.Millisecond, BusyRetry: 500 * time.Millisecond,
		FrontIdle: 2 * time.Second, FrontRead: 2500 * time.Millisecond, FrontWrite: 2 * time.Second,
		IdleTrustMin: 100 * time.Millisecond, IdleTrustDoubling: 10 * time.Second,
		AnswerRead: 500 * time.Millisecond, MaxInterim: 64, ErrorDelay: 50 * time.Millisecond, FrontLinger: 400 * time.Millisecond,
		// A watch receives data every 2 s, so two updates are missing at the timeout. A change that the watch misses counts as
		// announced to the relay 6 s after the watch fell silent.
		WatchTimeout: 4400 * time.Millisecond, WatchSpread: 800 * time.Millisecond, WatchRetry: 250 * time.Millisecond,
		EndedRetention: 5 * time.Second, MaxEnded: 4096,
		NoticeTimeout: time.Second, NoticeRetry: 100 * time.Millisecond, NoticesPerCall: 200,
		NoticeRetryMax: time.Second, ParallelNotices: 16, MaxRemembered: 20000,
		DrainSends: 2500 * time.Millisecond, DrainExit: 3200 * time.Millisecond,
		DrainLinger: time.Second, DrainClose: 250 * time.Millisecond, WindowMargin: 250 * time.Millisecond,
		CaptureQueue: 8, CaptureChunk: 16 << 10, CaptureWithin: 2 * time.Second,
		PluginStart: time.Second, PluginBudget: 60 * time.Millisecond, PluginGrace: 5 * time.Millisecond,
		PluginStack: 128 << 10, PluginCopyBytes: 256 << 10, PluginThreads: 16, PluginYields: true, PluginBurst: 50 * time.Millisecond, PluginBreakerThreshold: 3,
		PluginBreakerOpen: 500 * time.Millisecond, PluginBreakerOpenMax: time.Minute, PluginBreakerTrials: 5, PluginBreakers: 1024,
		PluginEndQueue: 1024, PluginLines: 10, PluginReason: 256, PluginHeaders: 16, PluginValue: 1024,
		PluginHeaderSize: 4 << 10, PluginSample: 512, PluginRetryAfterMax: time.Minute, PluginSave: 5 * time.Second,
		PluginMemory: int64(p.number("plugin_host.memory_mb", 16, 1, 1<<12)) << 20,
		PluginCache:  int64(p.number("plugin_host.cache_mb", 64, 1, 1<<12)) << 20,
		Round:        settings.TurnInterval, ConnectTimeout: settings.ConnectTimeout,
	}
	// Half of the descriptors are for clients. The rest is for calls in flight, 16 for the journal, the watch and the listeners,
	// and what then remains, but at most a quarter of all, is for idle connections to endpoints.
	limits.ClientConnections = limits.Sockets / 2
	limits.IdleEndpoints = max(0, min(limits.Sockets/4, limits.Sockets-limits.ClientConnections-settings.Slots-16))
	if limits.Round <= 0 {
		limits.Round = 5 * time.Millisecond
	}
	if limits.ConnectTimeout <= 0 {
		limits.ConnectTimeout = 1500 * time.Millisecond
	}
	// A connection is closed before the other side closes it, so that no request is sent as that happens: earlier by a tenth of
	// ConnIdle or, if that is longer, by a second but at most a third of ConnIdle.
	if limits.IdleSocket = settings.ConnIdle - max(settings.ConnIdle/10, min(time.Second, settings.ConnIdle/3)); settings.ConnIdle == 0 {
		limits.IdleSocket = 10 * time.Second
	}
	// Where the endpoint list is pushed, changes count as announced as soon as discovery is back, so the watch must then be
	// open again well within DrainGrace.
	if !settings.MustSubscribe && settings.DrainGrace > 0 {
		limits.WatchRetry = min(limits.WatchRetry, settings.DrainGrace/4)
	}
	return limits
}
