package node

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/gossip"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/view"
)

// TestWireFormat_EnvelopesOfEarlierVersions_ReadAndWrittenAsTheyWere compares datagrams with the bytes that an earlier version wrote,
// as members of both versions run side by side during an upgrade.
func TestWireFormat_EnvelopesOfEarlierVersions_ReadAndWrittenAsTheyWere(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		envelope envelope
		encoded  string
	}{
		{
			"membership", envelope{Membership: &membership.Message{Kind: membership.MsgPing, From: "edge-1/agent", Incarnation: 5}},
			`{"m":{"k":"ping","f":"edge-1/agent","i":5}}`,
		},
		{
			"gossip", envelope{Gossip: &gossip.Message{Digest: view.Digest{view.PlacementSection: {Term: 1, Sequence: 2}}, Complete: true}},
			`{"g":{"d":{"placement":{"epoch":1,"sequence":2}},"w":true}}`,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var read envelope
			if err := json.Unmarshal([]byte(test.encoded), &read); err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(test.envelope, read); difference != "" {
				t.Error("read:", difference)
			}
			written, err := json.Marshal(test.envelope)
			if err != nil {
				t.Fatal(err)
			}
			if difference := cmp.Diff(test.encoded, string(written)); difference != "" {
				t.Error("written:", difference)
			}
		})
	}
}
