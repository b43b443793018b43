package simulator

import "time"

// event is something that happens to what its kind says. It holds indices and no pointers: a run schedules some millions.
type event struct {
	kind eventKind
	a, b int32
}

// eventKind names what an event does, and what its a and b are.
type eventKind uint8

const (
	eventArrival       eventKind = iota // client submits message a to relay b
	eventSubmission                     // client resubmits message a to relay b
	eventTurn                           // relay a takes a turn
	eventCallArrival                    // call a reaches its endpoint
	eventServiceDone                    // endpoint completes call a of generation b
	eventResponse                       // the answer to call a reaches its relay
	eventCallTimeout                    // call a of generation b times out
	eventFault                          // fault a begins (b 1) or ends (b 0)
	eventListUpdate                     // relay b is notified of change a of the endpoint list
	eventOverloadCheck                  // overload window of endpoint a has passed
	eventNextMessage                    // the next message is drawn
	eventOverloadEnd                    // endpoint a comes back after a collapse
	eventQuotaPing                      // relay a sends its demands to the leader
	eventQuotaRequest                   // envelope a reaches the leader
	eventQuotaGrant                     // envelope a, a grant, reaches its relay
)

// schedule has an event processed at a virtual time. Events of one time are processed in the order in which they were scheduled.
func (r *Run) schedule(at time.Duration, kind eventKind, a, b int32) {
	r.queue.Push(at, event{kind: kind, a: a, b: b})
}
