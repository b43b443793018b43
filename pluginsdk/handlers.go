//go:build wasip1

package pluginsdk

// The handlers; nil: the plug-in takes no part in the phase.
var (
	arrivalHandler func(Message)
	answerHandler  func(Answer)
	endHandler     func(Ended)
)

// OnArrival registers what is done when a message arrives, before its client has an answer: the time that the handler takes
// is the client's. It is called in init; a further call takes the place of the first.
func OnArrival(do func(Message)) { arrivalHandler = do }

// OnAnswer registers what is done when a destination has answered. Where the plug-in may ask for nothing it is called later,
// and holds nothing up. It is called in init; a further call takes the place of the first.
func OnAnswer(do func(Answer)) { answerHandler = do }

// OnEnd registers what is done when a message is over. It is called some time afterwards, and not at all when too many such
// calls wait already. It is called in init; a further call takes the place of the first.
func OnEnd(do func(Ended)) { endHandler = do }

// Bits of the mask of phases.
const (
	phaseArrival = 1 << iota
	phaseAnswer
	phaseEnd
)

// phaseMask tells the relay, when an instance has started, which phases the plug-in takes part in.
//
//go:wasmexport mastusher_abi_2
func phaseMask() (mask uint32) {
	if arrivalHandler != nil {
		mask |= phaseArrival
	}
	if answerHandler != nil {
		mask |= phaseAnswer
	}
	if endHandler != nil {
		mask |= phaseEnd
	}
	return mask
}

// statusOK is what a phase returns to the relay; a handler that fails panics, and does not return.
const statusOK = 0

//go:wasmexport on_arrival
func onArrival() int32 {
	arrivalHandler(Message{})
	return statusOK
}

//go:wasmexport on_answer
func onAnswer() int32 {
	answerHandler(Answer{})
	return statusOK
}

//go:wasmexport on_end
func onEnd() int32 {
	endHandler(Ended{})
	return statusOK
}
