package schema

import (
	"fmt"
	"strings"

	"cuelang.org/go/cue/errors"
	"go.uber.org/multierr"

	"mastusher/internal/tier/validation"
)

// fieldErrors converts an error of the CUE evaluator into field errors.
func fieldErrors(err error) error {
	var errs error
	for _, fieldErr := range errors.Errors(err) {
		format, args := fieldErr.Msg()
		multierr.AppendInto(&errs, &validation.FieldError{Field: fieldPath(fieldErr.Path()), Reason: fmt.Sprintf(format, args...)})
	}
	return errs
}

// fieldPath formats a path in the document like routes[3].giveUpMs.
func fieldPath(path []string) string {
	var formatted strings.Builder
	for _, step := range path {
		switch {
		case strings.HasPrefix(step, "#"): // name of the schema definition itself
		case isIndex(step):
			fmt.Fprintf(&formatted, "[%s]", step)
		default:
			if formatted.Len() > 0 {
				formatted.WriteByte('.')
			}
			formatted.WriteString(step)
		}
	}
	return formatted.String()
}

func isIndex(step string) bool {
	return step != "" && strings.Trim(step, "0123456789") == ""
}

// firstOfEachField keeps the first error of each field, because form, schema and rules may report the same fault.
func firstOfEachField(err error) error {
	var kept error
	seen := make(map[string]bool)
	for _, fieldErr := range validation.FieldErrors(err) {
		if !seen[fieldErr.Field] {
			multierr.AppendInto(&kept, fieldErr)
		}
		seen[fieldErr.Field] = true
	}
	return kept
}
