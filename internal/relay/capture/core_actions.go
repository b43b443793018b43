package capture

import (
	"math/bits"
	"time"
)

// Input is one turn of the core: what its queue brought, how the journal fared, and what it did.
type Input struct {
	No      uint64        `cbor:"1,keyasint,omitempty"` // of the module's turn in it; 0: it had none
	Now     time.Duration `cbor:"2,keyasint"`
	Events  []CoreEvent   `cbor:"3,keyasint,omitempty"`
	Full    []int         `cbor:"4,keyasint,omitempty"` // which of the messages to be taken on the journal had no room for
	Failed  bool          `cbor:"5,keyasint,omitempty"` // the journal could not be written
	Sum     uint64        `cbor:"6,keyasint,omitempty"` // of what it did, see Add; 0: nothing
	Actions []Action      `cbor:"-"`                    // the same in full, in a replay
}

// Add takes an action into the sum. The actions themselves follow from the rest, and would take as much time to write as all
// of it.
func (in *Input) Add(d *Action) {
	h := in.Sum ^ uint64(d.Kind)
	for _, v := range [...]uint64{d.Number, uint64(d.Target), uint64(d.Wait), uint64(d.WriteBefore), uint64(d.After), uint64(d.Verdict)} {
		h = (bits.RotateLeft64(h, 23) ^ v) * 0x9e3779b97f4a7c15
	}
	for _, v := range d.Refs {
		h = (bits.RotateLeft64(h, 23) ^ v) * 0x9e3779b97f4a7c15
	}
	in.Sum = max(h, 1)
}

// ActionKind tells what an Action is.
type ActionKind uint8

// What the core does.
const (
	Replied         ActionKind = iota + 1 // Number: of the message submitted, Verdict, Wait: when to come again
	AttemptBegan                          // Number: of the attempt, Target, Refs, Wait: its time-out, WriteBefore
	AttemptCanceled                       // Number: of the attempt that is canceled
	AttemptRecalled                       // Number: of the attempt that is canceled if nothing of it was written
	NoticesSent                           // Number: of the front, Refs of the notices in the call
	WatchStarted                          // Number: of the front, Target: number of the watch, After
	IdleClosed                            // Target: the destination whose idle connections are closed
	MessageFinished                       // Number: of the message that is over and owes nothing more
)

// Action is one thing that the core did.
type Action struct {
	Kind        ActionKind
	Number      uint64
	Target      uint32
	Refs        []uint64
	Wait        time.Duration
	WriteBefore time.Duration
	After       int64
	Verdict     uint8
}
