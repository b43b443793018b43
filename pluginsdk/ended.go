//go:build wasip1

package pluginsdk

// Ended is the end of a message that was taken on. It is valid in OnEnd's handler.
type Ended struct{ call }

// How is what the message ended as: delivered, handed_back, given_up or withdrawn.
func (Ended) How() string { return string(field(fieldResult)) }
