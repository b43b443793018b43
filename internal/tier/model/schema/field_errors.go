package schema

import (
	"fmt"
	"strings"

	"cuelang.org/go/cue/errors"
	"go.uber.org/multierr"

	"mastusher/internal/tier/validation"
)

// fieldErrors converts an error of the evaluator.
func fieldErrors(err error) error {
	var errs error
	for _, one := range errors.Errors(err) {
		format, args := one.Msg()
		multierr.AppendInto(&errs, &validation.FieldError{Field: fieldPath(one.Path()), Reason: fmt.Sprintf(format, args...)})
	}
	return errs
}

// fieldPath formats a path in the document as routes[3].giveUpMs.
func fieldPath(path []string) string {
	var formatted strings.Builder
	for _, step := range path {
		switch {
		case strings.HasPrefix(step, "#"): // the name of the schema itself
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

// firstOfEachField keeps the first error of each field, since form, schema and rules may find the same thing.
func firstOfEachField(err error) error {
	var kept error
	seen := make(map[string]bool)
	for _, one := range validation.FieldErrors(err) {
		if !seen[one.Field] {
			multierr.AppendInto(&kept, one)
		}
		seen[one.Field] = true
	}
	return kept
}
