package schema

import (
	"fmt"
	"strings"

	"cuelang.org/go/cue/errors"
	"go.uber.org/multierr"

	"mastusher/internal/tier/validation"
)

// fieldErrors turns an error of the evaluator into faults with places.
func fieldErrors(err error) error {
	var faults error
	for _, one := range errors.Errors(err) {
		format, args := one.Msg()
		multierr.AppendInto(&faults, &validation.FieldError{Field: fieldPath(one.Path()), Reason: fmt.Sprintf(format, args...)})
	}
	return faults
}

// fieldPath writes a path in the document as routes[3].giveUpMs.
func fieldPath(path []string) string {
	var written strings.Builder
	for _, step := range path {
		switch {
		case strings.HasPrefix(step, "#"): // the name of the schema itself
		case isIndex(step):
			fmt.Fprintf(&written, "[%s]", step)
		default:
			if written.Len() > 0 {
				written.WriteByte('.')
			}
			written.WriteString(step)
		}
	}
	return written.String()
}

func isIndex(step string) bool {
	return step != "" && strings.Trim(step, "0123456789") == ""
}

// firstOfEachField keeps the first fault of each place: the form and the rules may find the same thing.
func firstOfEachField(err error) error {
	var kept error
	seen := make(map[string]bool)
	for _, fault := range validation.FieldErrors(err) {
		if !seen[fault.Field] {
			multierr.AppendInto(&kept, fault)
		}
		seen[fault.Field] = true
	}
	return kept
}
