package program

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

// TestEncodeCommand_AnyCommand_SameAsEncodingJSON compares the commands' own encoding with encoding/json, whose result is the stored format.
func TestEncodeJSON_AnyCommand_SameAsEncodingJSON(t *testing.T) {
	text := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{`,"atMs":`, `"`, "<&>", ""}))
	bytes := rapid.SliceOfN(rapid.Byte(), 0, 50)
	rapid.Check(t, func(t *rapid.T) {
		begin := &BeginTurn{Turn: text.Draw(t, "turn"), Program: text.Draw(t, "program"), Budget: rapid.Int64().Draw(t, "budget"),
			MaxTokens: rapid.Int64().Draw(t, "most"), Remembered: rapid.Bool().Draw(t, "remembered"), Previous: text.Draw(t, "previous"),
			KeepForS: rapid.Float64Range(0, 1e6).Draw(t, "keepForS"), Input: bytes.Draw(t, "input"), Imported: bytes.Draw(t, "imported"),
			AtMs: rapid.Int64().Draw(t, "atMs")}
		end := &EndTurn{Turn: text.Draw(t, "ended"), Complete: rapid.Bool().Draw(t, "whole"), Tokens: rapid.Int64().Draw(t, "tokens"),
			Output: bytes.Draw(t, "output"), AtMs: rapid.Int64().Draw(t, "endAtMs")}
		for _, command := range []Command{{Begin: begin}, {End: end}, {}, {Begin: begin, End: end}} {
			want, err := json.Marshal(command)
			if err != nil {
				t.Fatal(err)
			}
			got, err := EncodeCommand(command)
			if err != nil || string(got) != string(want) {
				t.Errorf("%s, %v, want %s", got, err, want)
			}
		}
	})
}
