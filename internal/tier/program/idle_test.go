package program

import "testing"

// A shard whose leader rejected all turns for lack of memory got no commands, so that its contents never expired.
func TestMachine_ClockCommands_ExpireWithoutOtherCommands(t *testing.T) {
	const (
		startMs = 1_000_000
		turns   = 3 * maxTurnExpiriesPerCommand
		stepMs  = 5_000
	)
	m := New()
	for i := range turns {
		name := string(rune('a' + i))
		m.Apply(Command{Begin: &BeginTurn{Turn: name, Remembered: true, KeepForS: 1, Input: make([]byte, 100), AtMs: startMs}})
		m.Apply(Command{End: &EndTurn{Turn: name, Complete: true, Output: make([]byte, 10), AtMs: startMs}})
	}
	nowMs := int64(startMs)
	for nowMs < startMs+endedRetentionMs+clockMarginMs {
		if stats := m.Stats(); stats.Turns != turns || !m.Idleness().HasContents {
			t.Fatalf("%d ms after the turns' end: %+v", nowMs-startMs, stats)
		}
		nowMs += stepMs
		if result := m.Apply(ClockCommand(nowMs)); result.Verdict != UnknownTurn {
			t.Fatalf("verdict %v", result.Verdict)
		}
	}
	for m.Idleness().IsExpiryDue {
		m.Apply(ClockCommand(nowMs))
	}
	if stats := m.Stats(); stats != (Stats{}) || m.Idleness() != (Idleness{LastCommandMs: nowMs}) {
		t.Errorf("left: %+v, %+v", stats, m.Idleness())
	}
}
