package wire

// Event codes of a batch.
const (
	EvHello     = 1
	EvFleet     = 2
	EvQuery     = 3
	EvStreaming = 4
	EvResolved  = 5
	EvAbandoned = 6
	EvWake      = 7
	EvEcho      = 8
	EvPeer      = 9
	EvKilled    = 10
	EvList      = 11
	EvContext   = 12
)

// Action codes of a reply.
const (
	AcDefer       = 1
	AcAs          = 2
	AcDecline     = 3
	AcFreeLinks   = 4
	AcAssign      = 5
	AcFollow      = 6
	AcDropRequest = 7
	AcException   = 8
	AcSoundOut    = 9
	AcDropAttempt = 10
	AcLog         = 11
	AcTell        = 12
	AcLookup      = 13
)

// Flags of a Query.
const (
	FlagRetry     = 2  // submitted again, if clients mark that
	FlagTakenOver = 16 // submitted again after the previous forwarder has died
)

// Modes of a Fleet event.
const (
	ModeDelta  = 0 // the list has changed
	ModeFull   = 1 // the complete list
	ModeCached = 2 // the list as known before the start
	ModeFailed = 3 // the subscription was lost
)
