package simulator

import "time"

// event is a scheduled event. It holds indices instead of pointers, because a run schedules millions of events.
type event struct {
	kind eventKind
	a, b int32
}

// eventKind is the kind of an event. It determines what the numbers a and b of the event refer to.
type eventKind uint8

const (
	eventArrival         eventKind = iota // client submits message a to relay b
	eventSubmission                       // client resubmits message a to relay b
	eventTurn                             // relay a takes a turn
	eventCallArrival                      // call a reaches its endpoint
	eventServiceDone                      // endpoint completes call a of generation b
	eventResponse                         // the response to call a reaches its relay
	eventCallTimeout                      // call a of generation b times out
	eventFault                            // fault a begins (b is 1) or ends (b is 0)
	eventListUpdate                       // relay b is notified of change a of the endpoint list
	eventOverloadCheck                    // the overload window of endpoint a has passed
	eventNextMessage                      // the next message is drawn
	eventOverloadEnd                      // endpoint a comes back after a collapse
	eventQuotaRequestDue                  // relay a sends a quota request to the leader
	eventQuotaRequest                     // the quota request in envelope a reaches the leader
	eventQuotaGrant                       // the quota grant in envelope a reaches its relay
)

// schedule queues an event for a virtual time. Events at the same time are processed in the order in which they were scheduled.
func (r *Run) schedule(at time.Duration, kind eventKind, a, b int32) {
	r.queue.Push(at, event{kind: kind, a: a, b: b})
}
