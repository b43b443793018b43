package program

// state is the state of a turn. Its numbers are stored.
type state uint8

const (
	inFlight  state = iota // begun and not ended
	complete               // ended, complete and remembered: it can be continued
	discarded              // ended and can't be continued: broken off, or not remembered
	imported               // a chain that was imported from another shard; its bytes are the input
)

// turn is one attempt of a client, or an imported chain. Turns that continue the same one share it as their parent, so that
// each input and output is stored once.
type turn struct {
	name           string
	parent         *turn
	program        *program // while in flight; nil: it belongs to none
	input          []byte
	output         []byte
	reservedTokens int64
	retainMs       int64 // retention after its end that was asked for
	expiresAtMs    int64 // 0: it isn't queued
	chainBytes     int   // length of the chain up to and including this turn, once it can be continued
	sequence       uint64
	children       int32 // turns stored that continue this one
	queueIndex     int32 // index in the expiry queue; notQueued: retained by its children alone
	state          state
	remembered     bool
}

// notQueued is the queueIndex of a turn that isn't in the expiry queue.
const notQueued = -1

// isReferenced reports whether the expiry queue or another turn still needs the turn.
func (t *turn) isReferenced() bool {
	return t.children > 0 || t.queueIndex != notQueued
}

// canContinue reports whether others may continue the turn.
func (t *turn) canContinue() bool {
	return t.state == complete || t.state == imported
}

// stateAtEnd returns the state that a turn in flight gets at its end.
func stateAtEnd(t *turn, isComplete bool) state {
	if isComplete && t.remembered {
		return complete
	}
	return discarded
}

// contentBytes is the size of the turn's own input and output.
func (t *turn) contentBytes() int64 {
	return int64(len(t.input) + len(t.output))
}

// setChainBytes stores the length of the chain once the output is there.
func (t *turn) setChainBytes() {
	t.chainBytes = len(t.input) + len(t.output)
	if t.parent != nil {
		t.chainBytes += t.parent.chainBytes
	}
}

// chain returns the inputs and outputs from the oldest turn up to and including t, in newly allocated memory. It fills the
// bytes from the end, so that the path from t to its oldest turn is walked once.
func (t *turn) chain() []byte {
	if t == nil || t.chainBytes == 0 {
		return nil
	}
	chain := make([]byte, t.chainBytes)
	end := len(chain)
	for ; t != nil; t = t.parent {
		end -= len(t.output)
		copy(chain[end:], t.output)
		end -= len(t.input)
		copy(chain[end:], t.input)
	}
	return chain
}
