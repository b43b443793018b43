package store

import (
	"testing"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/storage/memorydisk"
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

// Many large contents that came at once were all taken, since the use of memory is measured each 100 ms only.
func TestStore_LargeContentsComeAtOnce_TakenUpToTheirLimit(t *testing.T) {
	const limit, bytes = 1 << 20, 100 << 10
	s := newStore(t, memorydisk.New())
	taken := 0
	var releases []func()
	for range 20 {
		if release, ok := s.takesLarge(bytes, limit); ok {
			taken++
			releases = append(releases, release)
		}
	}
	if kept := taken * (bytes + bytes*4/3); kept > limit || kept < limit*3/4 {
		t.Errorf("%d contents taken, which take %d bytes, of %d", taken, kept, limit)
	}
	if _, ok := s.takesLarge(memorybudget.SmallBytes, limit); !ok {
		t.Error("small contents are refused")
	}
	for _, release := range releases {
		release()
	}
	if release, ok := s.takesLarge(bytes, limit); !ok {
		t.Error("large contents are refused after the others have gone")
	} else {
		release()
	}
}
