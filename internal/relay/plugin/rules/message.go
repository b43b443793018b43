package rules

import (
	"net/textproto"
	"slices"
	"strings"
)

// framing belongs to HTTP itself, whatever the front.
var framing = []string{"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-*", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade"}

// Shape is what goes out with a message beside its protocol's own headers: pairs of name and value, names in canonical
// form. Its methods change no Shape but return another.
type Shape []string

// separators are what a header takes on the wire beside its name and value.
const separators = ": \r\n"

// Set sets a header, in the place of one of that name. What is refused leaves the Shape as it was.
func (s Shape) Set(f *Front, limits *Limits, name, value string) (Shape, Refusal) {
	if len(name) == 0 || !isToken(name) || !isFieldValue(value) {
		return s, Unclean
	}
	if len(name) > limits.NameSize || len(value) > limits.ValueSize {
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
	if len(next)/2 > limits.Headers || next.wireSize() > limits.HeaderSize {
		return s, Large
	}
	return next, None
}

// wireSize is how many bytes the headers take on the wire.
func (s Shape) wireSize() int {
	size := 0
	for i := 0; i < len(s); i += 2 {
		size += len(s[i]) + len(s[i+1]) + len(separators)
	}
	return size
}

// Remove takes back a header that this plug-in or an earlier one has set; Absent: none has.
func (s Shape) Remove(name string) (Shape, Refusal) {
	i := s.find(textproto.CanonicalMIMEHeaderKey(name))
	if i < 0 {
		return s, Absent
	}
	return slices.Delete(slices.Clone(s), i, i+2), None
}

// Get is the value of a header; false: no plug-in has set it.
func (s Shape) Get(name string) (string, bool) {
	i := s.find(textproto.CanonicalMIMEHeaderKey(name))
	if i < 0 {
		return "", false
	}
	return s[i+1], true
}

// find is the index of a name in canonical form; -1: it is not there.
func (s Shape) find(name string) int {
	for i := 0; i < len(s); i += 2 {
		if s[i] == name {
			return i
		}
	}
	return -1
}

// Rewrite tells whether a front lets the body after take the place of before.
func Rewrite(f *Front, limits *Limits, before, after []byte) Refusal {
	switch {
	case f.Body == nil:
		return Locked
	case len(after) > limits.BodySize:
		return Large
	case !f.Body(before, after):
		return Owned
	}
	return None
}

// owns tells whether a list of names, of which some may end with "*", has a name.
func owns(list []string, name string) bool {
	return slices.ContainsFunc(list, func(owned string) bool {
		head, isPrefix := strings.CutSuffix(owned, "*")
		return isPrefix && strings.HasPrefix(name, head) || owned == name
	})
}

// isToken tells whether s is a token of RFC 9110, section 5.6.2, or empty.
func isToken(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return !isTokenRune(r) })
}

func isTokenRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// isFieldValue tells whether s can be a header's value (RFC 9110, section 5.5): printable ASCII and spaces, none at its
// ends. What lies beyond ASCII is left out, since partners differ in how they read it.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' {
			return false
		}
	}
	return strings.Trim(s, " ") == s
}
