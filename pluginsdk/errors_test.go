package pluginsdk

import (
	"errors"
	"math"
	"os"
	"os/exec"
	"testing"

	"mastusher/internal/relay/plugin/rules"
)

// TestRefusalError_RelaysNumbers_HaveTheirErrors: each refusal of package rules is converted to the error for it.
func TestRefusalError_RelaysNumbers_HaveTheirErrors(t *testing.T) {
	for refusal, want := range map[rules.Refusal]error{
		rules.None:    nil,
		rules.Owned:   ErrOwned,
		rules.Unclean: ErrUnclean,
		rules.Large:   ErrLarge,
		rules.Phase:   ErrPhase,
		rules.Locked:  ErrLocked,
		rules.Looser:  ErrLooser,
		rules.Absent:  ErrAbsent,
	} {
		if got := refusalError(int32(refusal)); !errors.Is(got, want) {
			t.Errorf("refusal %v (%d): error %v, want %v", refusal, refusal, got, want)
		}
	}
}

// TestRefusalError_UnknownNumber_IsAnError: a number that this version of the SDK does not know is an error and not success.
func TestRefusalError_UnknownNumber_IsAnError(t *testing.T) {
	for _, number := range []int32{1, -8, -100, math.MaxInt32, math.MinInt32} {
		if err := refusalError(number); err == nil || err.Error() != "pluginsdk: refused" {
			t.Errorf("refusal %d: error %v, want errUnknownRefusal", number, err)
		}
	}
}

// TestPackage_ForWebAssembly_Vets: the files that are built for WebAssembly only, including the examples in tests, pass go vet.
func TestPackage_ForWebAssembly_Vets(t *testing.T) {
	vet := exec.CommandContext(t.Context(), "go", "vet", ".")
	vet.Env = append(os.Environ(), "GOOS=wasip1", "GOARCH=wasm", "CGO_ENABLED=0")
	if out, err := vet.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
}
