// Package form parses and validates the operator's configurations in one pass over the document, with an error for each invalid
// field. It is a handwritten, much cheaper implementation of the CUE schema in package schema; tests there check that the two
// agree. Controllers use it for the configurations that operators send. It is safe for concurrent use: each parse has its own reader.
package form

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"

	"github.com/go-json-experiment/json/jsontext"
	"go.uber.org/multierr"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/validation"
)

// yieldAfter is the number of list elements after which a reader yields the processor, so that a large document doesn't delay heartbeats on
// a machine with a small share of one core. A larger value delays them longer; a smaller one costs more context switches.
const yieldAfter = 16

// Parse parses a complete configuration and checks its form and its rules (model.Validate). Its error holds an error for each invalid
// field; see validation.FieldErrors. It does not compare the configuration's version with the current one.
func Parse(raw []byte) (*model.Configuration, error) {
	r := newReader(raw)
	parsed := new(model.Configuration)
	r.document(parsed)
	if err := r.err(); err != nil {
		return nil, err
	}
	if err := model.Validate(parsed); err != nil {
		return nil, err
	}
	return parsed, nil
}

// reader reads a document. It stops at a syntax error.
type reader struct {
	raw      []byte
	decoder  *jsontext.Decoder
	path     path
	errs     []*validation.FieldError
	aborted  bool // a syntax error has been recorded
	elements int  // number of list elements read so far
}

func newReader(raw []byte) *reader {
	return &reader{raw: raw, decoder: jsontext.NewDecoder(bytes.NewBuffer(raw))}
}

// document reads a configuration, and checks that nothing follows it.
func (r *reader) document(into *model.Configuration) {
	object([]fieldForm{
		{name: "number", required: true, check: decoded(positive, &into.Version)},
		{name: "routes", required: true, check: decodedList(routeForm, &into.Routes)},
		{name: "services", required: true, check: decodedList(serviceForm, &into.Services)},
		{name: "limits", check: decoded(orNull(limitsForm), &into.Limits)},
	})(r)
	if r.aborted {
		return
	}
	if len(bytes.TrimSpace(r.raw[r.decoder.InputOffset():])) > 0 {
		r.abort("bytes follow the document")
	}
}

// decoded returns a checker that also decodes the value into target if it is valid.
func decoded(form checker, target any) checker {
	return func(r *reader) {
		before, start := r.errs, r.decoder.InputOffset()
		form(r)
		if r.aborted || len(r.errs) > len(before) {
			return
		}
		if err := model.DecodeValue(r.path.last(), r.since(start), target); err != nil {
			r.add(err.Field, err.Reason)
		}
	}
}

// decodedList returns a checker of a list that decodes each element separately.
func decodedList[Element any](form checker, target *[]Element) checker {
	return func(r *reader) {
		*target = []Element{}
		list(func(r *reader) {
			var element Element
			decoded(form, &element)(r)
			*target = append(*target, element)
		})(r)
	}
}

// since returns the text of the value that was read after an offset.
func (r *reader) since(offset int64) json.RawMessage {
	return bytes.TrimLeft(r.raw[offset:r.decoder.InputOffset()], " \t\r\n,:")
}

// yield lets other goroutines run after every yieldAfter-th element.
func (r *reader) yield() {
	if r.elements++; r.elements%yieldAfter == 0 {
		runtime.Gosched()
	}
}

// fail records an error for the value that is being read.
func (r *reader) fail(format string, values ...any) { r.add("", fmt.Sprintf(format, values...)) }

// add records an error for a field below the value that is being read, or for the value itself if below is empty.
func (r *reader) add(below, reason string) {
	field := r.path.String()
	if below != "" && field != "" {
		field += "."
	}
	r.errs = append(r.errs, &validation.FieldError{Field: field + below, Reason: reason})
}

// abort records a syntax error and stops the reader. Later errors are not recorded.
func (r *reader) abort(reason string) {
	if !r.aborted {
		r.errs = append(r.errs, &validation.FieldError{Reason: "can't be read whole: " + reason})
	}
	r.aborted = true
}

// err returns all errors joined, or nil.
func (r *reader) err() error {
	var joined error
	for _, fieldErr := range r.errs {
		multierr.AppendInto(&joined, fieldErr)
	}
	return joined
}
