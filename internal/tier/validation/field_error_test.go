package validation

import (
	"fmt"
	"testing"

	"go.uber.org/multierr"
)

func TestFieldError_Text_IsFieldAndReason(t *testing.T) {
	if got := (&FieldError{Field: "routes[0]", Reason: "is odd"}).Error(); got != "routes[0]: is odd" {
		t.Errorf("got %q", got)
	}
	if got := (&FieldError{Reason: "is odd"}).Error(); got != "is odd" {
		t.Errorf("got %q", got)
	}
	if got := FieldErrors(fmt.Errorf("other")); got != nil {
		t.Errorf("got %v for an error without field errors, want none", got)
	}
}

func TestFieldErrors_Joined_KeepTheirOrder(t *testing.T) {
	first, second := &FieldError{Field: "a", Reason: "is odd"}, &FieldError{Field: "b", Reason: "is missing"}
	group := fmt.Errorf("settings.yaml: %w", multierr.Combine(first, fmt.Errorf("other"), second))
	got := FieldErrors(group)
	if len(got) != 2 || got[0] != first || got[1] != second {
		t.Errorf("got %v, want the two field errors in order", got)
	}
}
