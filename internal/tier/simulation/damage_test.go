package simulation

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/standin"
)

// Given a store that was killed and of whose shards the snapshots are damaged, when it starts, then all shards have all their
// replicas within 15 s: it doesn't pass for the member that it was.
func TestStore_DamagedSnapshots_IsReplaced(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fleet, orders, users := newFleet(t, Options{Seed: 21})
		d := &day{Fleet: fleet, first: orders, second: newOperator(fleet, "b"), clients: users}
		fleet.onAcknowledgement = d.onAcknowledgement
		d.recordVersion(1)
		users.runProgram(3, 0, standin.Turn{})
		shards := fleet.completeShards()
		if shards == 0 {
			t.Fatal("no shard is complete")
		}
		m := d.machinesOf(storageClass)[0]
		m.kill()
		names, err := m.disk.memory.List()
		if err != nil {
			t.Fatal(err)
		}
		damaged := 0
		for _, name := range names {
			if strings.HasPrefix(name, "shard-") && strings.Contains(name, ".slot-") && m.disk.memory.Corrupt(name, 3) == nil {
				damaged++
			}
		}
		if damaged == 0 {
			t.Fatalf("nothing to be damaged among %v", names)
		}
		m.startAll()
		time.Sleep(15 * time.Second)
		if got := fleet.completeShards(); got != shards {
			t.Errorf("%d of %d shards are complete 15 s after a disk was found to be damaged", got, shards)
		}
		fleet.Close()
	})
}
