package pluginsdk

import "errors"

// Why the relay did not do what it was asked for.
var (
	// ErrOwned says that the protocol owns the header, or the field of the body that SetBody would change.
	ErrOwned = errors.New("pluginsdk: the protocol owns it")
	// ErrUnclean says that a name is no token of HTTP, or that a value has a line break or anything else but printable ASCII, or a
	// space at an end.
	ErrUnclean = errors.New("pluginsdk: characters that a header can't hold")
	// ErrLarge says that a name, key, value or body is too long, that there would be too many headers, or that the store's
	// quota is used up.
	ErrLarge = errors.New("pluginsdk: too large, or too many")
	// ErrPhase says that the function belongs to another phase, as SetHeader does in OnEnd's handler.
	ErrPhase = errors.New("pluginsdk: not in this phase")
	// ErrLocked says that no plug-in may change that at the front by which the message came.
	ErrLocked = errors.New("pluginsdk: this front does not allow it")
	// ErrLooser says that the relay would become less careful: it would wait for less time, or take for refused what may
	// have run.
	ErrLooser = errors.New("pluginsdk: it would make the relay less careful")
	// ErrAbsent says that there is nothing to remove.
	ErrAbsent = errors.New("pluginsdk: there is no such thing")
)

// errUnknownRefusal stands for a refusal of a later relay.
var errUnknownRefusal = errors.New("pluginsdk: refused")

// refusals are the errors by their numbers in the interface, which are 0, -1, -2 and so on.
var refusals = [...]error{nil, ErrOwned, ErrUnclean, ErrLarge, ErrPhase, ErrLocked, ErrLooser, ErrAbsent}

// refusalError is the error of a number that the relay returned.
func refusalError(number int32) error {
	if number <= 0 && number > -int32(len(refusals)) { // the least number has no opposite
		return refusals[-number]
	}
	return errUnknownRefusal
}
