package simulation

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/standin"
)

// TestStore_DamagedSnapshots_IsReplaced damages the snapshots of a killed store. When it starts, it must not act as the member that it
// was, and all shards must have all their replicas within 15 s.
func TestStore_DamagedSnapshots_IsReplaced(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		fleet, operator, users := newFleet(t, Options{Seed: 21})
		d := &day{Fleet: fleet, firstOperator: operator, secondOperator: newOperator(fleet, "b"), clients: users}
		fleet.onAcknowledgement = d.onAcknowledgement
		d.recordVersion(1)
		users.runProgram(3, 0, standin.Turn{})
		shards := fleet.completeShards()
		if shards == 0 {
			t.Fatal("no shard has all its replicas")
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
			t.Fatalf("no snapshot could be damaged among the files %v", names)
		}
		m.startAll()
		time.Sleep(15 * time.Second)
		if got := fleet.completeShards(); got != shards {
			t.Errorf("%d of %d shards have all their replicas 15 s after a store with damaged snapshots started", got, shards)
		}
		fleet.Close()
	})
}
