package program

import "slices"

// state is the state of a turn. Its values are part of the stored format.
type state uint8

const (
	inFlight  state = iota // begun, not ended
	complete               // ended with a complete output and remembered: it can be continued
	discarded              // ended and can't be continued: incomplete, or not remembered
	imported               // a chain imported from another shard, stored as the input
)

// turn is one attempt of a client, or an imported chain. Turns that continue the same one share it as their parent, so that
// each input and output is stored once.
type turn struct {
	name                 string
	parent               *turn
	program              *program // nil if the turn belongs to none, or isn't in flight any more
	input                []byte
	output               []byte
	reservedTokens       int64
	requestedRetentionMs int64 // requested retention after the turn's end
	expiresAtMs          int64 // 0: not in the expiry queue
	chainBytes           int   // length of the chain up to and including this turn, once it can be continued
	sequence             uint64
	children             int32 // number of stored turns that continue this one
	queueIndex           int32 // index in the expiry queue; notQueued: retained by its children alone
	state                state
	remembered           bool
}

// notQueued is the queueIndex of a turn that isn't in the expiry queue.
const notQueued = -1

// isReferenced reports whether the expiry queue or another turn still needs the turn.
func (t *turn) isReferenced() bool {
	return t.children > 0 || t.queueIndex != notQueued
}

// canBeContinued reports whether others may continue the turn.
func (t *turn) canBeContinued() bool {
	return t.state == complete || t.state == imported
}

// stateAtEnd returns the state of a turn after its end.
func stateAtEnd(t *turn, isComplete bool) state {
	if isComplete && t.remembered {
		return complete
	}
	return discarded
}

// contentBytes returns the size of the turn's own input and output.
func (t *turn) contentBytes() int64 {
	return int64(len(t.input) + len(t.output))
}

// setChainBytes sets the length of the chain, when the turn has its output.
func (t *turn) setChainBytes() {
	t.chainBytes = len(t.input) + len(t.output)
	if t.parent != nil {
		t.chainBytes += t.parent.chainBytes
	}
}

// parts returns the inputs and outputs from the oldest turn up to and including t.
func (t *turn) parts() Chain {
	if t == nil || t.chainBytes == 0 {
		return nil
	}
	var parts Chain
	for ; t != nil; t = t.parent {
		parts = append(parts, t.output, t.input)
	}
	slices.Reverse(parts)
	return parts
}
