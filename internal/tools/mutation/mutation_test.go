package mutation

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const sampleSource = `package sample

func Larger(a, b int) int {
	if a > b {
		return a
	}
	return b
}
`

const sampleTests = `package sample

import (
	"flag"
	"testing"
	"time"
)

var thorough = flag.Bool("thorough", false, "")

func TestThorough(t *testing.T) {
	if *thorough && Larger(2, 1) != 2 {
		t.Error("wrong")
	}
}

func TestLarger(t *testing.T) {
	t.Run("first", func(t *testing.T) {
		if Larger(2, 1) != 2 {
			t.Error("wrong")
		}
	})
	t.Run("second", func(t *testing.T) {
		if Larger(2, 1) != 2 {
			time.Sleep(time.Hour) // not reached: the trial ends with the first failure
		}
	})
}

func TestOnlySecond(t *testing.T) {
	if Larger(1, 2) != 2 {
		t.Error("wrong")
	}
}

func TestEndless(t *testing.T) {
	for Larger(2, 1) != 2 {
		time.Sleep(time.Millisecond)
	}
}
`

func writeSamplePackage(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	files := map[string]string{"go.mod": "module sample\n\ngo 1.26\n", "sample.go": sampleSource, "sample_test.go": sampleTests}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func sampleChange(old, changed string) Change {
	return Change{File: "sample.go", Old: old, New: changed}
}

func TestRunTrial_EachKindOfMutant_GivesItsVerdict(t *testing.T) {
	folder := writeSamplePackage(t)
	neverFirst := sampleChange("a > b", "a > b && false")
	var (
		outdated  *OutdatedError
		unbuilt   *BuildError
		survived  *SurvivorError
		undecided *UndecidedError
	)
	cases := []struct {
		name   string
		change Change
		run    string
		args   []string
		killer string // prefix of the name of the test that kills the mutant
		fails  any    // pointer to the expected type of error, if no test kills the mutant
	}{
		{name: "killed", change: neverFirst, run: "^TestLarger$", killer: "TestLarger/first"},
		{name: "killed only with a flag", change: neverFirst, run: "^TestThorough$", args: []string{"-thorough"}, killer: "TestThorough"},
		{name: "survives without the flag", change: neverFirst, run: "^TestThorough$", fails: &survived},
		{name: "panics", change: sampleChange("return b", `panic("late")`), run: "^TestOnlySecond$", killer: "TestOnlySecond"},
		{name: "survives", change: neverFirst, run: "^TestOnlySecond$", fails: &survived},
		{name: "does not compile", change: sampleChange("a > b", "a"), run: "^TestLarger$", fails: &unbuilt},
		{name: "old text is missing", change: sampleChange("a < b", "false"), run: "^TestLarger$", fails: &outdated},
		{name: "old text occurs twice", change: sampleChange("return", "panic"), run: "^TestLarger$", fails: &outdated},
		{name: "changes nothing", change: sampleChange("a > b", "a > b"), run: "^TestLarger$", fails: &outdated},
		{name: "no such test", change: neverFirst, run: "^TestNone$", fails: &undecided},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			killedBy, err := runTrial(t.Context(), folder, t.TempDir(), Mutant{Name: tc.name, Change: tc.change, Run: tc.run, Args: tc.args})
			if tc.fails != nil {
				if !errors.As(err, tc.fails) {
					t.Errorf("the error is %v, want a %T", err, tc.fails)
				}
				return
			}
			if err != nil || !strings.HasPrefix(killedBy, tc.killer) {
				t.Errorf("killed by %q, error %v, want %q", killedBy, err, tc.killer)
			}
		})
	}
}

func TestRunTests_Timeout_IsUndecided(t *testing.T) {
	folder, scratch := writeSamplePackage(t), t.TempDir()
	changed, err := mutate(folder, []Change{sampleChange("a > b", "a > b && false")})
	if err != nil {
		t.Fatal(err)
	}
	overlay, err := writeOverlay(scratch, changed)
	if err != nil {
		t.Fatal(err)
	}
	binary := filepath.Join(scratch, "mutant.test")
	if err = build(t.Context(), folder, overlay, binary); err != nil {
		t.Fatal(err)
	}
	_, err = runTests(t.Context(), folder, binary, "^TestEndless$", 100*time.Millisecond)
	var undecided *UndecidedError
	if !errors.As(err, &undecided) {
		t.Errorf("the error is %v, want an UndecidedError", err)
	}
}

func TestMutate_SeveralChangesOfOneFile_AddUp(t *testing.T) {
	folder := writeSamplePackage(t)
	changed, err := mutate(folder, []Change{sampleChange("a > b", "a < b"), sampleChange("a < b", "a == b")})
	if err != nil {
		t.Fatal(err)
	}
	for path, source := range changed {
		if filepath.Base(path) != "sample.go" || !strings.Contains(source, "a == b") {
			t.Errorf("%s contains %s", path, source)
		}
	}
	if len(changed) != 1 {
		t.Errorf("%d files are changed, want 1", len(changed))
	}
}

func TestRunTrial_LeavesTheSourceUnchanged(t *testing.T) {
	folder := writeSamplePackage(t)
	if _, err := runTrial(t.Context(), folder, t.TempDir(), Mutant{Change: sampleChange("a > b", "false"), Run: "^TestLarger$"}); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(folder, "sample.go"))
	if err != nil || string(raw) != sampleSource {
		t.Errorf("the source has changed (error %v): %s", err, raw)
	}
}
