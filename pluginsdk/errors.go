package pluginsdk

import "errors"

// Errors for requests that the relay refused.
var (
	// ErrOwned means that the protocol owns the header, or the field of the body that SetBody would change.
	ErrOwned = errors.New("pluginsdk: the protocol owns the header or field")
	// ErrUnclean means that a name is not an HTTP token, or that a value has anything but printable ASCII, or a space at its start or
	// end.
	ErrUnclean = errors.New("pluginsdk: the header has invalid characters")
	// ErrLarge means that a name, key, value or body is too long, that there would be too many headers, or that the store's
	// quota is used up.
	ErrLarge = errors.New("pluginsdk: a limit on sizes or numbers is exceeded")
	// ErrPhase means that the function belongs to another phase, such as SetHeader in OnEnd's handler.
	ErrPhase = errors.New("pluginsdk: the function is not allowed in this phase")
	// ErrLocked means that plug-ins may not make this change at the front that received the message.
	ErrLocked = errors.New("pluginsdk: this front does not allow the change")
	// ErrLooser means that the relay would become less careful: it would wait for less time, or treat a message that may have run as
	// refused.
	ErrLooser = errors.New("pluginsdk: the answer would shorten the wait or count a message that may have run as refused")
	// ErrAbsent means that there is no header to remove.
	ErrAbsent = errors.New("pluginsdk: no plug-in has set the header")
)

// errUnknownRefusal is the error for a refusal number that only later relays return.
var errUnknownRefusal = errors.New("pluginsdk: refused")

// refusals has the error for each refusal number of the ABI, negated.
var refusals = [...]error{nil, ErrOwned, ErrUnclean, ErrLarge, ErrPhase, ErrLocked, ErrLooser, ErrAbsent}

// refusalError returns the error for a refusal number that the relay returned; nil: success.
func refusalError(number int32) error {
	if number <= 0 && number > -int32(len(refusals)) { // compares without negating number: math.MinInt32 can't be negated
		return refusals[-number]
	}
	return errUnknownRefusal
}
