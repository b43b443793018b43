// Package rules holds what a plug-in may do to a message and to an answer. It is pure: no clock, I/O or state.
// The tables of docs/plugins.md are these.
package rules

import (
	"net/textproto"
	"slices"
	"strings"
	"time"

	"mastusher/control"
)

// Limits bounds what a plug-in may ask for.
type Limits struct {
	Headers       int // that go out with one message
	NameSize      int // bytes of a header's name
	ValueSize     int // bytes of its value
	HeaderSize    int // bytes of all of them together, as they stand on the wire
	BodySize      int
	MaxRetryAfter time.Duration // that an answer's phase may ask for
}

// Front is what a front lets plug-ins change.
type Front struct {
	Name  string
	Owned []string // names of headers that the protocol owns, in canonical form; a "*" at the end stands for any rest
	// Body checks that a body may take another's place; nil: no body may.
	Body func(before, after []byte) bool
}

// framing belongs to HTTP itself, whatever the front.
var framing = []string{"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-*", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade"}

// Refusal is why the host did not do what a plug-in asked. 0: it did.
type Refusal int32

// The refusals; the numbers are part of the interface.
const (
	None    Refusal = 0
	Owned   Refusal = -1 // the protocol owns this header
	Unclean Refusal = -2 // characters that a header can't hold: CR, LF and other controls
	Large   Refusal = -3 // over a limit on sizes or counts
	Phase   Refusal = -4 // not in this phase
	Locked  Refusal = -5 // this front lets no plug-in change that
	Looser  Refusal = -6 // it would make the relay less careful
	Absent  Refusal = -7 // there is no such thing
)

var names = map[Refusal]string{None: "done", Owned: "the protocol owns it", Unclean: "unclean characters",
	Large: "too large", Phase: "not in this phase", Locked: "this front does not allow it", Looser: "less careful",
	Absent: "absent"}

func (r Refusal) String() string { return names[r] }

// Shape is what goes out with a message beside its protocol's own headers: pairs of name and value.
type Shape []string

// Set sets a header, in the place of one of that name.
func (s Shape) Set(f *Front, lim *Limits, name, value string) (Shape, Refusal) {
	if len(name) == 0 || !token(name) || !clean(value) {
		return s, Unclean
	}
	if len(name) > lim.NameSize || len(value) > lim.ValueSize {
		return s, Large
	}
	name = textproto.CanonicalMIMEHeaderKey(name)
	if owns(framing, name) || owns(f.Owned, name) {
		return s, Owned
	}
	next := slices.Clone(s) // of a call that fails nothing may stay
	if i := s.find(name); i >= 0 {
		next[i+1] = value
	} else {
		next = append(next, name, value)
	}
	size := 0
	for i := 0; i < len(next); i += 2 {
		size += len(next[i]) + len(next[i+1]) + len(": \r\n")
	}
	if len(next)/2 > lim.Headers || size > lim.HeaderSize {
		return s, Large
	}
	return next, None
}

// Remove takes back a header that this plug-in or an earlier one has set.
func (s Shape) Remove(name string) (Shape, Refusal) {
	i := s.find(textproto.CanonicalMIMEHeaderKey(name))
	if i < 0 {
		return s, Absent
	}
	return slices.Delete(slices.Clone(s), i, i+2), None
}

// Get is the value of a header.
func (s Shape) Get(name string) (string, bool) {
	i := s.find(textproto.CanonicalMIMEHeaderKey(name))
	if i < 0 {
		return "", false
	}
	return s[i+1], true
}

func (s Shape) find(name string) int {
	for i := 0; i < len(s); i += 2 {
		if s[i] == name {
			return i
		}
	}
	return -1
}

// Rewrite tells whether a front lets after take the place of before.
func Rewrite(f *Front, lim *Limits, before, after []byte) Refusal {
	switch {
	case f.Body == nil:
		return Locked
	case len(after) > lim.BodySize:
		return Large
	case !f.Body(before, after):
		return Owned
	}
	return None
}

func owns(list []string, name string) bool {
	return slices.ContainsFunc(list, func(o string) bool {
		head, isPrefix := strings.CutSuffix(o, "*")
		return isPrefix && strings.HasPrefix(name, head) || o == name
	})
}

// token tells whether s is a token of RFC 9110, section 5.6.2.
func token(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r))
	})
}

// clean tells whether s can be a header's value: printable ASCII and spaces, none at its ends. What lies beyond
// ASCII is left out, since partners differ in how they read it.
func clean(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' {
			return false
		}
	}
	return strings.Trim(s, " ") == s
}

// Answer is what the relay makes of a destination's answer for one message.
type Answer struct {
	Result     control.Result
	RetryAfter time.Duration
	Final      bool
}

// Ask is what a plug-in wants made of it.
type Ask struct {
	RetryAfter time.Duration // at least so long
	Refuse     bool          // for good
}

// Tighten does what a plug-in asks as far as it makes the relay more careful.
//
//	the answer         a longer wait   refusal for good
//	delivered, over    no              no
//	full, a wait told  yes             no: the wait binds all of the partner's messages, and would be lost
//	full, none told    yes             yes: it never ran
//	error (500, ...)   no              no: it may have run, and a refusal would claim that it did not
//	refused for good   no              it is one
//	anything else      no              no: no answer came
func Tighten(a Answer, ask Ask, lim *Limits) (Answer, Refusal) {
	if ask == (Ask{}) {
		return a, None
	}
	if a.Final || a.Result != control.Throttled {
		return a, Looser
	}
	if ask.Refuse {
		if a.RetryAfter > 0 || ask.RetryAfter > 0 {
			return a, Looser
		}
		a.Result = control.Rejected
		return a, None
	}
	if ask.RetryAfter < a.RetryAfter {
		return a, Looser
	}
	a.RetryAfter = max(a.RetryAfter, min(ask.RetryAfter, lim.MaxRetryAfter))
	return a, None
}
