// Package schema states the form of the operator's configurations in CUE, and checks whole documents by it. Evaluating it
// takes a hundred times as long as package form, which controllers use; that one's tests hold the two against each other.
package schema

import (
	_ "embed"
	"encoding/json"
	"sync"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	cuejson "cuelang.org/go/encoding/json"
	"go.uber.org/multierr"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/model/form"
	"mastusher/internal/tier/validation"
)

//go:embed configuration.cue
var source string

const (
	sourceName = "configuration.cue"
	definition = "#Configuration"
)

// recompileAfter is the number of checks after which the schema is compiled anew, since an evaluator keeps the names of all
// fields that it has ever seen.
const recompileAfter = 256

// evaluator holds the compiled schema. It serves one caller at a time.
var evaluator struct {
	sync.Mutex
	context  *cue.Context
	compiled cue.Value
	checks   int
}

// Check finds everything that makes a configuration invalid by itself, and returns all faults with their places; see
// validation.Faults. Whether its number is higher than the current one is not judged here. It finds all that form.Read finds,
// which controllers use, at many times the cost.
func Check(raw []byte) error {
	_, faults := form.Parse(raw)
	if !json.Valid(raw) {
		return faults
	}
	faults = multierr.Append(faults, checkSchema(raw))
	if decoded, err := model.Decode(raw); err == nil {
		faults = multierr.Append(faults, model.Validate(decoded))
	}
	return firstOfEachField(faults)
}

// checkSchema holds a document to the schema.
func checkSchema(raw []byte) error {
	document, err := cuejson.Extract("", raw)
	if err != nil {
		return &validation.FieldError{Reason: err.Error()}
	}
	evaluator.Lock()
	defer evaluator.Unlock()
	compiled, err := compile()
	if err != nil {
		return &validation.FieldError{Reason: err.Error()}
	}
	built := evaluator.context.BuildExpr(document)
	return fieldErrors(compiled.Unify(built).Validate(cue.Concrete(true), cue.Final()))
}

// compile gives the compiled schema; the caller holds the lock.
func compile() (cue.Value, error) {
	if evaluator.checks%recompileAfter == 0 {
		evaluator.context = cuecontext.New()
		whole := evaluator.context.CompileString(source, cue.Filename(sourceName))
		evaluator.compiled = whole.LookupPath(cue.ParsePath(definition))
	}
	evaluator.checks++
	return evaluator.compiled, evaluator.compiled.Err()
}
