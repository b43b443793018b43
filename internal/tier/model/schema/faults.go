package schema

import (
	"fmt"
	"strings"

	"cuelang.org/go/cue/errors"
	"go.uber.org/multierr"

	"mastusher/internal/tier/validation"
)

// faultsOf turns an error of the evaluator into faults with places.
func faultsOf(err error) error {
	var faults error
	for _, one := range errors.Errors(err) {
		format, args := one.Msg()
		multierr.AppendInto(&faults, &validation.FieldError{Field: place(one.Path()), Reason: fmt.Sprintf(format, args...)})
	}
	return faults
}

// place writes a path in the document as routes[3].giveUpMs.
func place(path []string) string {
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

// withoutRepeats keeps the first fault of each place: the form and the rules may find the same thing.
func withoutRepeats(err error) error {
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
