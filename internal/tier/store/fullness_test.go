package store

import (
	"testing"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/program"
)

func TestFullness_Commands_RejectedFromADegreeOn(t *testing.T) {
	large := make([]byte, memorybudget.SmallBytes+1)
	small := large[:memorybudget.SmallBytes]
	begins := []struct {
		name    string
		turn    program.BeginTurn
		rejects Fullness // the lowest degree that rejects it; none: Full + 1
	}{
		{"a large new program", program.BeginTurn{Remembered: true, Input: large}, ShortOfBulk},
		{"a large next turn", program.BeginTurn{Remembered: true, Previous: "1", Input: large}, ShortOfBulk},
		{"a turn that imports a large chain", program.BeginTurn{Remembered: true, Previous: "1", Imported: large}, ShortOfBulk},
		{"a small new program", program.BeginTurn{Remembered: true, Input: small}, Near},
		{"a small next turn", program.BeginTurn{Remembered: true, Previous: "1", Input: small}, Full},
		{"a turn whose contents are not kept", program.BeginTurn{Input: large}, Full + 1},
	}
	for _, test := range begins {
		for degree := Roomy; degree <= Full; degree++ {
			if got, want := degree.admitsBegin(&test.turn), degree < test.rejects; got != want {
				t.Errorf("%s at %v: admitted %v", test.name, degree, got)
			}
		}
	}
	for degree := Roomy; degree <= Full; degree++ {
		if !degree.admitsEnd(&program.EndTurn{Complete: true, Output: small}) {
			t.Errorf("the end of a turn with a small output is rejected at %v", degree)
		}
		if got, want := degree.admitsEnd(&program.EndTurn{Complete: true, Output: large}), degree < OutOfBulk; got != want {
			t.Errorf("the end of a turn with a large output at %v: admitted %v", degree, got)
		}
	}
}
