//go:build wasip1

package pluginsdk

// The handlers; nil: the plug-in does not handle the phase.
var (
	arrivalHandler func(Message)
	answerHandler  func(Answer)
	endHandler     func(Ended)
)

// OnArrival registers the handler for messages that arrive. The client waits for its answer while the handler runs. OnArrival must be
// called in init; a second call replaces the handler.
func OnArrival(do func(Message)) { arrivalHandler = do }

// OnAnswer registers the handler for answers of destinations. If the answer allows no request of the plug-in, the handler is called
// later and nothing waits for it. OnAnswer must be called in init; a second call replaces the handler.
func OnAnswer(do func(Answer)) { answerHandler = do }

// OnEnd registers the handler for messages that have ended. The handler is called some time after the end, and not at all if too many
// such calls are queued. OnEnd must be called in init; a second call replaces the handler.
func OnEnd(do func(Ended)) { endHandler = do }

// Bits of the mask of phases.
const (
	phaseArrival = 1 << iota
	phaseAnswer
	phaseEnd
)

// phaseMask returns the mask of the phases that the plug-in handles. The relay calls it when an instance has started.
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

// statusOK is the status that a phase function returns. There is no other, since a handler that fails panics and does not return.
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
