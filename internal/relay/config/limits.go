package config

import (
	"time"

	"mastusher/internal/relay/wire"
)

// Limits holds every limit on sizes, counts and times outside the module. It is filled once, at start, and
// handed down.
type Limits struct {
	Cores       int
	MemoryBytes int64 // bytes
	DiskBytes   int64 // bytes in the state folder
	Sockets     int   // descriptors of the process
	HeadSize    int   // bytes of a request's or answer's first line and headers
	BodySize    int   // bytes of a body
	NameSize    int   // bytes of an id or key

	ClientConnections int // at once
	Queue             int // events on their way to the core; a full queue refuses messages
	IdleEndpoints     int // connections kept to endpoints, in all
	IdlePerEndpoint   int

	Round             time.Duration // from one turn of the core to the next
	AnswerWithin      time.Duration // an arrival older than this is refused: its client is about to leave
	BusyRetry         time.Duration // the wait named in a refusal that the module had no part in
	ConnectTimeout    time.Duration
	IdleSocket        time.Duration // a pooled connection is retired after this
	IdleTrustMin      time.Duration // a connection that stood idle for less is always used again
	IdleTrustDoubling time.Duration // after a loss on an idle connection, how long until twice the idle time is trusted
	AnswerRead        time.Duration // an answer must be complete within this, from its first byte
	MaxInterim        int           // answers to one call, of which all but the last are 1xx
	FrontIdle         time.Duration // a client's connection may stand idle for this long
	FrontRead         time.Duration // a request must be complete within this, from its first byte; the first of a connection, from its start
	FrontWrite        time.Duration // a client takes its answer within this
	ErrorDelay        time.Duration // after an error the next request on its connection is not read before
	FrontLinger       time.Duration // how long what follows a faulty request is still read
	WatchTimeout      time.Duration // a watch that says nothing for so long has timed out
	WatchRetry        time.Duration // before a watch that did not come up is opened again
	WatchSpread       time.Duration // over which all relays open theirs anew that fell silent together
	EndedRetention    time.Duration // how long the id of a message that has ended is known
	MaxEnded          int           // and of how many
	NoticeTimeout     time.Duration
	NoticeRetry       time.Duration // before notices are sent again; doubles with each attempt in a row that fails
	NoticeRetryMax    time.Duration
	ParallelNotices   int // calls, where each notice is one
	MaxRemembered     int // messages that have ended, to answer for when they come again
	NoticesPerCall    int
	WindowMargin      time.Duration // no repeat of a keyed message is begun in this last part of its window
	DrainSends        time.Duration // after SIGTERM, how long attempts are still begun
	DrainExit         time.Duration // and the core ends within this
	DrainLinger       time.Duration // clients are still answered for so long
	DrainClose        time.Duration // then their connections end within this

	CaptureQueue  int           // batches on their way to a capture's writer
	CaptureChunk  int           // bytes of records, about, that make a chunk
	CaptureWithin time.Duration // after which what there is makes one

	PluginStart            time.Duration // for an instance's start
	PluginBudget           time.Duration // for all plug-ins that see a message arrive, of the 400 ms that its client waits
	PluginGrace            time.Duration // after its deadline a call that can't be stopped is left to itself
	PluginMemory           int64         // bytes, of all instances together
	PluginStack            int           // values of eight bytes that the open calls in an instance may take
	PluginCopyBytes        int           // bytes that a call may have the relay copy out of its memory
	PluginThreads          int           // that run plug-ins at once
	PluginYields           bool          // those give way to the relay's own threads
	PluginBurst            time.Duration // processor time that a plug-in may use at once beyond its share
	PluginBreakerThreshold float64       // failures that open a circuit breaker, less a part of the good calls
	PluginBreakerOpen      time.Duration // how long it stays open at first
	PluginBreakerOpenMax   time.Duration // and at most
	PluginBreakerTrials    int           // good calls in a row that close it
	PluginBreakers         int           // that a plug-in keeps breakers for
	PluginEndQueue         int           // calls after the fact that wait for a plug-in
	PluginLines            int           // log lines a second, and in one call
	PluginReason           int           // bytes of a log line or reason
	PluginHeaders          int           // set on one message
	PluginValue            int           // bytes of a header's value
	PluginHeaderSize       int           // bytes of all headers set on one message
	PluginSample           int           // bytes of an answer that plug-ins may see
	PluginRetryAfterMax    time.Duration // that a plug-in may ask for
	PluginSave             time.Duration // from one saving of the stores to the next
	PluginCache            int64         // bytes of compiled modules that are kept
}

// limits gives each limit its default, from what the platform grants.
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
		// A watch says something every 2 s: two of those are missing. What it misses counts as told 6 s after it fell silent.
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
	// Half of the descriptors are the clients', and what the calls that are out, the journal, the watch and the
	// listeners leave of the rest is for idle ones to endpoints, a quarter at most.
	limits.ClientConnections = limits.Sockets / 2
	limits.IdleEndpoints = max(0, min(limits.Sockets/4, limits.Sockets-limits.ClientConnections-settings.Slots-16))
	if limits.Round <= 0 {
		limits.Round = 5 * time.Millisecond
	}
	if limits.ConnectTimeout <= 0 {
		limits.ConnectTimeout = 1500 * time.Millisecond
	}
	// A tenth before the other side would close it, so that no request crosses the close; a second where there is as much.
	if limits.IdleSocket = settings.ConnIdle - max(settings.ConnIdle/10, min(time.Second, settings.ConnIdle/3)); settings.ConnIdle == 0 {
		limits.IdleSocket = 10 * time.Second
	}
	// Where the list is pushed, what discovery has to tell at its return counts as told at once: the watch is to be back well
	// within the grace for drains.
	if !settings.MustSubscribe && settings.DrainGrace > 0 {
		limits.WatchRetry = min(limits.WatchRetry, settings.DrainGrace/4)
	}
	return limits
}
