package form

import (
	"strconv"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// checker reads one value and records its errors.
type checker func(r *reader)

// fieldForm is the form of a field of an object.
type fieldForm struct {
	name     string
	required bool
	check    checker
}

// object returns a checker of an object with the given fields, at most 64. It ignores other fields.
func object(fields []fieldForm) checker {
	return func(r *reader) {
		if !r.enter('{') {
			return
		}
		var seen uint64 // one bit per field
		for !r.ends('}') {
			name := r.name()
			at := findField(fields, name)
			if at < 0 {
				r.skip()
				continue
			}
			seen |= 1 << at
			r.path.push(fields[at].name)
			fields[at].check(r)
			r.path.pop()
		}
		if r.aborted {
			return
		}
		for at := range fields {
			if fields[at].required && seen&(1<<at) == 0 {
				r.path.push(fields[at].name)
				r.fail("is missing")
				r.path.pop()
			}
		}
	}
}

func findField(fields []fieldForm, name string) int {
	for at := range fields {
		if fields[at].name == name {
			return at
		}
	}
	return -1
}

// list returns a checker of a list whose elements all have the same form.
func list(element checker) checker {
	return func(r *reader) {
		if !r.enter('[') {
			return
		}
		for index := 0; !r.ends(']'); index++ {
			r.path.push("[" + strconv.Itoa(index) + "]")
			element(r)
			r.path.pop()
			r.yield()
		}
	}
}

// orNull returns a checker that also accepts null.
func orNull(other checker) checker {
	return func(r *reader) {
		if r.kind() == 'n' {
			r.skip()
			return
		}
		other(r)
	}
}

// textWith returns a checker of a text that must satisfy a predicate. The reason follows the text in the error message.
func textWith(isValid func(text string) bool, reason string) checker {
	return func(r *reader) {
		token, ok := r.scalar('"')
		if ok && !isValid(token.String()) {
			r.fail("%q %s", token.String(), reason)
		}
	}
}

var (
	anyText      = textWith(func(string) bool { return true }, "")
	nonEmptyText = textWith(func(text string) bool { return text != "" }, "is empty")
	prefixText   = textWith(func(text string) bool { return strings.HasPrefix(text, "/") && strings.HasSuffix(text, "/") },
		"doesn't begin and end with a slash")
)

// oneOf returns a checker of a text that must be one of those listed.
func oneOf(listed ...string) checker {
	return textWith(func(text string) bool {
		for _, allowed := range listed {
			if text == allowed {
				return true
			}
		}
		return false
	}, "is none of "+strings.Join(listed, ", "))
}

// numberWith returns a checker of a number that must satisfy a predicate.
func numberWith(isValid func(value float64) bool, reason string) checker {
	return func(r *reader) {
		token, ok := r.scalar('0')
		if !ok {
			return
		}
		written := token.String()
		value, err := strconv.ParseFloat(written, 64)
		switch {
		case err != nil:
			r.fail("%s is too large", written)
		case !isValid(value):
			r.fail("%s %s", written, reason)
		}
	}
}

var (
	number      = numberWith(func(float64) bool { return true }, "")
	positive    = numberWith(func(value float64) bool { return value > 0 }, "is not above 0")
	nonNegative = numberWith(func(value float64) bool { return value >= 0 }, "is negative")
)

// boolean checks that a value is true or false.
func boolean(r *reader) {
	if kind := r.kind(); kind == 't' || kind == 'f' {
		r.skip()
		return
	}
	r.mismatch("true or false")
}

// kindNames are the names of the JSON kinds in error messages.
var kindNames = map[jsontext.Kind]string{
	'n': "null", 't': "true", 'f': "false", '"': "a text", '0': "a number", '{': "an object", '[': "a list",
}

// mismatch records that a value has the wrong kind, and skips it.
func (r *reader) mismatch(expected string) {
	kind := r.kind()
	if r.aborted {
		return
	}
	r.fail("is %s, not %s", kindNames[kind], expected)
	r.skip()
}
