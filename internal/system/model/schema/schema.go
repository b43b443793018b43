// Package schema checks configurations as the operator sends them: their form by a CUE schema, and what ties their parts
// together by the rules of package model. It is a package of its own so that processes that only read configurations
// don't carry the evaluator.
package schema

import (
	_ "embed"
	"encoding/json"
	"sync"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cuejson "cuelang.org/go/encoding/json"
	"go.uber.org/multierr"

	"mastusher/internal/system/invalid"
	"mastusher/internal/system/model"
)

//go:embed configuration.cue
var source string

const (
	sourceName = "configuration.cue"
	definition = "#Configuration"
)

// renewAfter is the number of checks after which the schema is compiled anew, since an evaluator keeps the names of all
// fields that it has ever seen.
const renewAfter = 256

// form is the compiled schema. An evaluator serves one caller at a time.
var form struct {
	sync.Mutex
	context  *cue.Context
	compiled cue.Value
	checks   int
}

// Check finds everything that makes a configuration invalid by itself, and returns all faults with their places; see
// invalid.Faults. Whether its number is higher than the current one is not judged here.
func Check(raw []byte) error {
	decoded, unread := model.Decode(raw)
	if unread != nil && !json.Valid(raw) {
		return unread
	}
	faults := checkForm(raw)
	switch {
	case unread == nil:
		faults = multierr.Append(faults, model.Validate(decoded))
	case faults == nil:
		faults = unread // the form allows what has no place in the types, such as half a version
	}
	return withoutRepeats(faults)
}

// checkForm holds a document to the schema.
func checkForm(raw []byte) error {
	document, err := cuejson.Extract("", raw)
	if err != nil {
		return &invalid.Fault{Reason: err.Error()}
	}
	form.Lock()
	defer form.Unlock()
	compiled, err := compile()
	if err != nil {
		return &invalid.Fault{Reason: err.Error()}
	}
	built := form.context.BuildExpr(document)
	return faultsOf(compiled.Unify(built).Validate(cue.Concrete(true), cue.Final()))
}

// compile gives the compiled schema; the caller holds the lock.
func compile() (cue.Value, error) {
	if form.checks%renewAfter == 0 {
		form.context = cuecontext.New()
		whole := form.context.CompileString(source, cue.Filename(sourceName))
		form.compiled = whole.LookupPath(cue.ParsePath(definition))
	}
	form.checks++
	return form.compiled, form.compiled.Err()
}
