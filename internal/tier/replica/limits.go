package replica

// limits bound what a member sends and keeps.
type limits struct {
	message int    // bytes of entries in one message; a single entry may be larger
	flight  int    // bytes of entries that are sent to a follower and not acknowledged
	open    int    // bytes of commands that wait for their commit; what comes beyond is refused, except a single one
	tail    uint64 // entries before a snapshot that are kept for followers that are a little behind,
	trail   int    // as far as they take no more than so many bytes; at an owner, as may be in flight
	parts   int    // of a snapshot that are sent to a follower and not acknowledged
}

var usualLimits = limits{
	message: 256 << 10,
	flight:  1 << 20,
	open:    4 << 20,
	tail:    64,
	trail:   256 << 10,
	parts:   2,
}
