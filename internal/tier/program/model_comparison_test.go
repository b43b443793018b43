package program

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// subject is the machine under test, either a Machine or a mutant.
type subject interface {
	Apply(Command) Result
	machine() *Machine
}

func (m *Machine) machine() *Machine { return m }

// runScript applies the steps to a machine and to the model, and returns the first difference.
func runScript(subject subject, steps []step) error {
	reference := newModel()
	for i, step := range steps {
		got := subject.Apply(step.command)
		if err := reference.apply(step.command, step.trueMs, got); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		if err := reference.check(subject.machine(), step.trueMs); err != nil {
			return fmt.Errorf("after step %d: %w", i, err)
		}
	}
	return nil
}

// drain applies unrelated commands over two hours, and returns an error if anything of the script is left by then.
func drain(subject subject, steps []step) error {
	atMs := steps[len(steps)-1].trueMs + 2*3_600_000
	for i := range 2 * 3600 / 10 {
		atMs += 10_000
		subject.Apply(Command{Begin: &BeginTurn{Turn: fmt.Sprint("filler ", i), AtMs: atMs}})
	}
	machine := subject.machine()
	const fillers = (inFlightRetentionMs+clockMarginMs)/10_000 + 1
	stats := machine.Stats()
	if stats.Turns > fillers || stats.Programs > 0 || stats.Bytes != 0 || len(machine.imported) > 0 {
		return fmt.Errorf("%+v and %d imported chains are left", stats, len(machine.imported))
	}
	return nil
}

// rapidChoice returns a choose function that draws from rapid.
func rapidChoice(t *rapid.T) choose {
	return func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
}

func TestMachine_AnyScript_FollowsModel(t *testing.T) {
	tests := []struct {
		name     string
		length   int
		maxGapMs int
	}{
		{"short gaps, within which nothing expires", 60, 400},
		{"long gaps, over which turns expire", 80, 15_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				// given commands as relays and leaders with differing clocks send them
				steps := writeScript(rapidChoice(t), test.length, test.maxGapMs)
				// when a machine applies them, then its results and its state equal the model's
				machine := New()
				if err := runScript(machine, steps); err != nil {
					t.Fatal(err)
				}
				// and when no more commands concern its turns and programs, then all of them expire
				if err := drain(machine, steps); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}
