package simulation

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/standin"
)

// Given a store that was killed and of whose shards the snapshots are damaged, when it starts, then all shards are whole within 15 s:
// it doesn't pass for the member that it was.
func TestAStoreWithDamagedSnapshotsIsReplaced(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, orders, users := newFleet(t, Options{Seed: 21})
		d := &day{Fleet: f, first: orders, second: newOperator(f, "b"), users: users}
		f.onAnswer = d.answered
		d.learn(1)
		users.play(3, 0, standin.Turn{})
		shards := f.wholeShards()
		if shards == 0 {
			t.Fatal("no shard is whole")
		}
		m := d.of(storageClass)[0]
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
		if got := f.wholeShards(); got != shards {
			t.Errorf("%d of %d shards are whole 15 s after a disk was found to be damaged", got, shards)
		}
		f.Close()
	})
}
