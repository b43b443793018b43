package form

import (
	"errors"
	"io"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// kind returns the kind of the next value, or 0 after a syntax error.
func (r *reader) kind() jsontext.Kind {
	if r.aborted {
		return 0
	}
	kind := r.decoder.PeekKind()
	if kind == 0 {
		_, err := r.decoder.ReadToken()
		r.abortOnError(err)
	}
	return kind
}

// enter consumes the opening token of an object or a list. If the next value is neither, it records an error and returns false.
func (r *reader) enter(open jsontext.Kind) bool {
	if kind := r.kind(); kind != open {
		r.mismatch(kindNames[open])
		return false
	}
	_, err := r.decoder.ReadToken()
	return r.checkRead(err)
}

// ends consumes the closing token of an object or a list and returns true if it is next. It also returns true after a syntax error.
func (r *reader) ends(end jsontext.Kind) bool {
	kind := r.kind()
	if r.aborted {
		return true
	}
	if kind != end {
		return false
	}
	_, err := r.decoder.ReadToken()
	r.checkRead(err)
	return true
}

// name consumes the name of an object's field.
func (r *reader) name() string {
	token, err := r.decoder.ReadToken()
	if !r.checkRead(err) {
		return ""
	}
	return token.String()
}

// scalar consumes a text or a number. If the next value has another kind, it records an error and returns false. The token is valid until
// the next read.
func (r *reader) scalar(expected jsontext.Kind) (jsontext.Token, bool) {
	if r.kind() != expected {
		r.mismatch(kindNames[expected])
		return jsontext.Token{}, false
	}
	token, err := r.decoder.ReadToken()
	return token, r.checkRead(err)
}

// skip skips a value.
func (r *reader) skip() {
	if !r.aborted {
		r.checkRead(r.decoder.SkipValue())
	}
}

func (r *reader) checkRead(err error) bool {
	if err != nil {
		r.abortOnError(err)
	}
	return err == nil
}

func (r *reader) abortOnError(err error) {
	reason := "the text ends too soon"
	var syntax *jsontext.SyntacticError
	if errors.As(err, &syntax) && !errors.Is(err, io.ErrUnexpectedEOF) {
		reason = syntax.Error()
	}
	r.abort(reason)
}

// path is the path from the document to the value that is being read: names of fields, and list indexes in brackets.
type path []string

func (p *path) push(step string) { *p = append(*p, step) }
func (p *path) pop()             { *p = (*p)[:len(*p)-1] }

// last returns the name of the innermost field in the path: that of the value, or of the list that contains it.
func (p path) last() string {
	for at := len(p) - 1; at >= 0; at-- {
		if !strings.HasPrefix(p[at], "[") {
			return p[at]
		}
	}
	return ""
}

// String formats the path like routes[3].giveUpMs.
func (p path) String() string {
	var formatted strings.Builder
	for _, step := range p {
		if formatted.Len() > 0 && !strings.HasPrefix(step, "[") {
			formatted.WriteByte('.')
		}
		formatted.WriteString(step)
	}
	return formatted.String()
}
