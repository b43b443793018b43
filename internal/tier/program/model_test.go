package program

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// subject is a machine, or a wrong one.
type subject interface {
	Apply(Command) Result
	held() *Machine
}

func (m *Machine) held() *Machine { return m }

// play applies a script and tells the first thing that differs from the reference.
func play(subject subject, steps []step) error {
	reference := newReference()
	for i, step := range steps {
		got := subject.Apply(step.command)
		if err := reference.follow(step.command, step.trueMs, got); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		if err := reference.check(subject.held(), step.trueMs); err != nil {
			return fmt.Errorf("after step %d: %w", i, err)
		}
	}
	return nil
}

// drain applies commands over two hours without any turn that matters, and tells what is left.
func drain(subject subject, steps []step) error {
	atMs := steps[len(steps)-1].trueMs + 2*3_600_000
	for i := range 2 * 3600 / 10 {
		atMs += 10_000
		subject.Apply(Command{Begin: &BeginTurn{Turn: fmt.Sprint("filler ", i), AtMs: atMs}})
	}
	held := subject.held()
	const fillers = (underWayMs+clockMarginMs)/10_000 + 1
	stats := held.Stats()
	if stats.Turns > fillers || stats.Programs > 0 || stats.Bytes != 0 || len(held.roots) > 0 {
		return fmt.Errorf("%+v and %d imported chains are left", stats, len(held.roots))
	}
	return nil
}

func drawing(t *rapid.T) choose {
	return func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
}

func TestMachineFollowsTheReference(t *testing.T) {
	tests := []struct {
		name    string
		length  int
		longest int
	}{
		{"within the time in which nothing goes", 60, 400},
		{"over minutes", 80, 15_000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				// given commands as relays and owners with differing clocks send them
				steps := writeScript(drawing(t), test.length, test.longest)
				// when a machine applies them, then it answers and holds what the reference does
				machine := New()
				if err := play(machine, steps); err != nil {
					t.Fatal(err)
				}
				// and when nothing more comes, then it lets all go
				if err := drain(machine, steps); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}
