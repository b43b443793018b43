// Package form reads the operator's configurations and holds them to their form: the same form that package schema states
// in CUE, checked here in one pass over the document at a small part of the cost. Tests hold the two against each other.
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

// yieldAfter is the number of list elements after which a reader lets other goroutines run: a large document must not keep
// heartbeats waiting on a machine with a small share of one core.
const yieldAfter = 16

// Parse reads one whole configuration and checks its form and its rules. The error holds every fault with its place; see
// validation.Faults. Whether the configuration's number is higher than the current one is not judged here.
func Parse(raw []byte) (*model.Configuration, error) {
	r := newReader(raw)
	read := new(model.Configuration)
	r.document(read)
	if err := r.err(); err != nil {
		return nil, err
	}
	if err := model.Validate(read); err != nil {
		return nil, err
	}
	return read, nil
}

// reader walks over a document. After a fault in the text itself it reads no further.
type reader struct {
	raw      []byte
	decoder  *jsontext.Decoder
	path     path
	errs     []*validation.FieldError
	aborted  bool // the text is no JSON from here on
	elements int  // of lists, read so far
}

func newReader(raw []byte) *reader {
	return &reader{raw: raw, decoder: jsontext.NewDecoder(bytes.NewBuffer(raw))}
}

// document reads the configuration and what follows it: nothing.
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

// decoded returns a check that also decodes the value, if nothing is wrong with it.
func decoded(form checker, target any) checker {
	return func(r *reader) {
		known, from := r.errs, r.decoder.InputOffset()
		form(r)
		if r.aborted || len(r.errs) > len(known) {
			return
		}
		if err := model.DecodeValue(r.path.last(), r.since(from), target); err != nil {
			r.add(err.Field, err.Reason)
		}
	}
}

// decodedList returns a check of a list whose elements are decoded one by one.
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

// since returns the value that was read after an offset.
func (r *reader) since(offset int64) json.RawMessage {
	return bytes.TrimLeft(r.raw[offset:r.decoder.InputOffset()], " \t\r\n,:")
}

func (r *reader) yield() {
	if r.elements++; r.elements%yieldAfter == 0 {
		runtime.Gosched()
	}
}

// fail notes a fault at the value that is being read.
func (r *reader) fail(format string, values ...any) { r.add("", fmt.Sprintf(format, values...)) }

// add notes a fault at a place below the value that is being read.
func (r *reader) add(below, reason string) {
	place := r.path.String()
	if below != "" && place != "" {
		place += "."
	}
	r.errs = append(r.errs, &validation.FieldError{Field: place + below, Reason: reason})
}

// abort notes a fault of the text, which isn't read any further.
func (r *reader) abort(reason string) {
	if !r.aborted {
		r.errs = append(r.errs, &validation.FieldError{Reason: "can't be read whole: " + reason})
	}
	r.aborted = true
}

// err returns all faults together; nil: there are none.
func (r *reader) err() error {
	var joined error
	for _, fault := range r.errs {
		multierr.AppendInto(&joined, fault)
	}
	return joined
}
