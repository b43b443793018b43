// Package schema holds the CUE schema of the operator's configurations (configuration.cue), and validates configurations with it. The
// check-config command uses it. Evaluating CUE takes a hundred times as long as package form, which controllers use. Tests in this package
// check that the two agree.
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

// recompileAfter is the number of checks after which the schema is recompiled. An evaluator never frees the field names that it has seen,
// so a larger value costs memory, and a smaller one time.
const recompileAfter = 256

// evaluator holds the compiled schema. The mutex guards all fields, because CUE values are not safe for concurrent use.
var evaluator struct {
	sync.Mutex
	context  *cue.Context
	compiled cue.Value
	checks   int
}

// Check validates a configuration and returns all errors with their fields; see validation.FieldErrors. It does not compare the version
// with the current one. It finds all errors that form.Parse finds, which controllers use, at many times the cost. It is safe for
// concurrent use; calls run one at a time.
func Check(raw []byte) error {
	_, errs := form.Parse(raw)
	if !json.Valid(raw) {
		return errs
	}
	errs = multierr.Append(errs, checkSchema(raw))
	if decoded, err := model.Decode(raw); err == nil {
		errs = multierr.Append(errs, model.Validate(decoded))
	}
	return firstOfEachField(errs)
}

// checkSchema validates a document with the schema alone.
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

// compile returns the compiled schema. The caller must hold the mutex.
func compile() (cue.Value, error) {
	if evaluator.checks%recompileAfter == 0 {
		evaluator.context = cuecontext.New()
		file := evaluator.context.CompileString(source, cue.Filename(sourceName))
		evaluator.compiled = file.LookupPath(cue.ParsePath(definition))
	}
	evaluator.checks++
	return evaluator.compiled, evaluator.compiled.Err()
}
