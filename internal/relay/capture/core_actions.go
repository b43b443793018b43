package capture

import (
	"math/bits"
	"time"
)

// Input is one turn of the core: the events from its queue, the journal's results, and a checksum of the core's actions.
type Input struct {
	No      uint64        `cbor:"1,keyasint,omitempty"` // number of the module's turn that ran within this turn of the core; 0: none
	Now     time.Duration `cbor:"2,keyasint"`
	Events  []CoreEvent   `cbor:"3,keyasint,omitempty"`
	Full    []int         `cbor:"4,keyasint,omitempty"` // indexes of the submitted messages that the journal had no room for
	Failed  bool          `cbor:"5,keyasint,omitempty"` // the journal could not be written
	Sum     uint64        `cbor:"6,keyasint,omitempty"` // checksum of the core's actions, see Add; 0: no action
	Actions []Action      `cbor:"-"`                    // the actions themselves, in a replay only
}

// Add adds an action to the checksum. The actions themselves are not recorded: a replay computes them from the events, and
// writing them would take as much time as all the rest.
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

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions, each with the fields of Action that it uses.
const (
	Replied         ActionKind = iota + 1 // Number: of the message submitted, Verdict, Wait: the client's retry delay
	AttemptBegan                          // Number: of the attempt, Target, Refs, Wait: its timeout, WriteBefore
	AttemptCanceled                       // Number: of the attempt that is canceled
	AttemptRecalled                       // Number: of the attempt that is canceled unless it has begun to write
	NoticesSent                           // Number: of the front, Refs of the notices in the call
	WatchStarted                          // Number: of the front, Target: number of the watch, After
	IdleClosed                            // Target: the destination whose idle connections are closed
	MessageFinished                       // Number: of the message that has ended with no notice outstanding
)

// Action is one action of the core.
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
