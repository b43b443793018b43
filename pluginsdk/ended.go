//go:build wasip1

package pluginsdk

// Ended is the end of an accepted message. It is valid while OnEnd's handler runs.
type Ended struct{ call }

// How returns how the message ended: delivered, handed_back, given_up or withdrawn.
func (Ended) How() string { return string(field(fieldResult)) }
