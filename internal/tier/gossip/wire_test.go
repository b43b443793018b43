package gossip

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/view"
)

// TestWireFormat_MessagesOfEarlierVersions_ReadAndWrittenAsTheyWere compares messages with the bytes that an earlier version wrote,
// as members of both versions run side by side during an upgrade.
func TestWireFormat_MessagesOfEarlierVersions_ReadAndWrittenAsTheyWere(t *testing.T) {
	t.Parallel()
	digest := view.Digest{
		view.ConfigurationSection: {Term: 1, Sequence: 2},
		view.PlacementSection:     {Term: 3, Sequence: 4},
	}
	for _, test := range []struct {
		name    string
		message Message
		encoded string
	}{
		{
			"complete digest", Message{Digest: digest, Complete: true},
			`{"d":{"configuration":{"epoch":1,"sequence":2},"placement":{"epoch":3,"sequence":4}},"w":true}`,
		},
		{
			"some sections", Message{Digest: digest},
			`{"d":{"configuration":{"epoch":1,"sequence":2},"placement":{"epoch":3,"sequence":4}}}`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var read Message
			if err := json.Unmarshal([]byte(test.encoded), &read); err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(test.message, read); difference != "" {
				t.Error("read:", difference)
			}
			written, err := json.Marshal(test.message)
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(test.encoded, string(written)); difference != "" {
				t.Error("written:", difference)
			}
		})
	}
}
