package program

// state is what has become of a turn.
type state uint8

const (
	underWay state = iota // begun and not ended
	whole                 // ended whole and remembered: others may go on from it
	settled               // ended, and it doesn't count: broken off, or not remembered
	imported              // the chain of a turn that another shard holds; its bytes are the input
)

// turn is one try of a client, or an imported chain. Turns that go on from the same one share it as their parent, so that
// each input and output is there once.
type turn struct {
	name       string
	parent     *turn
	program    *program // while under way; nil: it belongs to none
	input      []byte
	output     []byte
	most       int64 // tokens reserved
	keepMs     int64
	dueMs      int64 // when it may go; 0: it isn't queued
	chainBytes int   // length of the chain up to and including this turn, once it is whole
	sequence   uint64
	children   int32 // turns held that go on from this one
	index      int32 // place in the queue; unqueued: held by its children alone
	state      state
	remembered bool
}

// unqueued is the index of a turn that isn't in the queue.
const unqueued = -1

// kept tells whether anything still needs the turn.
func (t *turn) kept() bool {
	return t.children > 0 || t.index != unqueued
}

// bytes is the size of what the turn itself holds.
func (t *turn) bytes() int64 {
	return int64(len(t.input) + len(t.output))
}

// seal notes the length of the chain once the output is there.
func (t *turn) seal() {
	t.chainBytes = len(t.input) + len(t.output)
	if t.parent != nil {
		t.chainBytes += t.parent.chainBytes
	}
}

// chain gives the inputs and outputs from the oldest turn up to and including t, in memory of its own. It fills the bytes
// from the end, so that the way from t to its oldest turn is walked once.
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
