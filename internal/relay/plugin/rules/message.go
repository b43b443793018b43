package rules

import (
	"net/textproto"
	"slices"
	"strings"
)

// framing lists the headers that belong to HTTP itself, which no plug-in may set at any front.
var framing = []string{"Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-*", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade"}

// ExtraHeaders are sent with a message in addition to the protocol's own headers. Names, in canonical form, and values alternate. The
// methods don't modify their receiver but return a copy.
type ExtraHeaders []string

// separators are the bytes that a header takes on the wire in addition to its name and value.
const separators = ": \r\n"

// Set sets a header, and replaces one with the same name. If it is refused, the result is s unchanged.
func (s ExtraHeaders) Set(f *Front, limits *Limits, name, value string) (ExtraHeaders, Refusal) {
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
	next := slices.Clone(s) // s must stay unchanged in case the call fails
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

// wireSize returns the number of bytes that the headers take on the wire.
func (s ExtraHeaders) wireSize() int {
	size := 0
	for i := 0; i < len(s); i += 2 {
		size += len(s[i]) + len(s[i+1]) + len(separators)
	}
	return size
}

// Remove removes a header that this plug-in or an earlier one has set; Absent: none of them has set it.
func (s ExtraHeaders) Remove(name string) (ExtraHeaders, Refusal) {
	i := s.find(textproto.CanonicalMIMEHeaderKey(name))
	if i < 0 {
		return s, Absent
	}
	return slices.Delete(slices.Clone(s), i, i+2), None
}

// Get returns the value of a header; false: no plug-in has set it.
func (s ExtraHeaders) Get(name string) (string, bool) {
	i := s.find(textproto.CanonicalMIMEHeaderKey(name))
	if i < 0 {
		return "", false
	}
	return s[i+1], true
}

// find returns the index of a name in canonical form; -1: there is no such header.
func (s ExtraHeaders) find(name string) int {
	for i := 0; i < len(s); i += 2 {
		if s[i] == name {
			return i
		}
	}
	return -1
}

// CheckBody checks whether a front allows the body after to replace the body before.
func CheckBody(f *Front, limits *Limits, before, after []byte) Refusal {
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

// owns reports whether a list of names and of prefixes, which end with "*", matches a name.
func owns(list []string, name string) bool {
	return slices.ContainsFunc(list, func(owned string) bool {
		head, isPrefix := strings.CutSuffix(owned, "*")
		return isPrefix && strings.HasPrefix(name, head) || owned == name
	})
}

// isToken reports whether s is a token of RFC 9110, section 5.6.2, or empty.
func isToken(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return !isTokenRune(r) })
}

func isTokenRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// isFieldValue reports whether s is valid as a header's value (RFC 9110, section 5.5): printable ASCII without spaces at the start or
// end. Other characters are not allowed, because partners differ in how they decode them.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' {
			return false
		}
	}
	return strings.Trim(s, " ") == s
}
