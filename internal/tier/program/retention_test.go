package program

import "testing"

// TestTurn_NeverEnds_ContentsKeptForItsTimeAndTheMargin shows what a turn costs a store that begins and never ends, and for how long.
func TestTurn_NeverEnds_ContentsKeptForItsTimeAndTheMargin(t *testing.T) {
	const start, input = 1_000_000, 4 << 20
	cases := []struct {
		name       string
		timeLeftMs int64
		keptMs     int64
	}{
		{"given a turn with four seconds left", 4_000, 4_000 + clockMarginMs},
		{"given a turn of an earlier proxy, which doesn't tell its time", 0, inFlightRetentionMs + clockMarginMs},
		{"given a turn with more time than any request has", 1 << 40, inFlightRetentionMs + clockMarginMs},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			m := New()
			begin := BeginTurn{Turn: "never", Program: "p", MaxTokens: 1, Remembered: true, KeepForS: 3600, TimeLeftMs: test.timeLeftMs,
				Input: make([]byte, input), AtMs: start}
			if result := m.Apply(Command{Begin: &begin}); result.Verdict != Accepted {
				t.Fatal(result.Verdict)
			}
			for now := int64(start); now < start+test.keptMs; now += 1_000 {
				m.Apply(Command{End: &EndTurn{Turn: "other", AtMs: now}})
				if m.Stats().Bytes != input {
					t.Fatalf("dropped after %d ms", now-start)
				}
			}
			m.Apply(Command{End: &EndTurn{Turn: "other", AtMs: start + test.keptMs}})
			if kept := m.Stats().Bytes; kept != 0 {
				t.Errorf("%d bytes are kept after %d ms", kept, test.keptMs)
			}
		})
	}
}
