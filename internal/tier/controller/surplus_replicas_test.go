package controller

import (
	"testing"
	"time"
)

// hasSurplusReplicas names a store that runs replicas of shards which the newest placement doesn't want there; empty: none.
func (c *cluster) hasSurplusReplicas() string {
	for _, m := range c.sorted() {
		if m.store == nil || !m.running {
			continue
		}
		if count, _ := m.store.Stats(); count > len(shardsOf(c.placement(), m.member.ID)) {
			return m.member.Name
		}
	}
	return ""
}

// replaceStore kills a store and waits until others have its replicas.
func (c *cluster) replaceStore(number int) {
	c.t.Helper()
	c.storage(number).kill()
	c.run(deathDelay + 6*time.Second)
	c.until("groups are complete", 5*time.Second, c.isComplete)
}

func TestReturningStore_SurplusReplicas_Removed(t *testing.T) {
	// Given a store that was away for so long that others have its replicas,
	cluster := newCluster(t, 5)
	cluster.awaitPlacement()
	turns := turnsOf(cluster, 0)
	cluster.replaceStore(1)

	// when it comes back, then it holds only what it is to hold: what it had takes no memory.
	cluster.storage(1).start()
	cluster.until("no store holds more than it is to hold", 10*time.Second, func() bool { return cluster.hasSurplusReplicas() == "" })
	cluster.wantTurns(turns)

	// And when another one is lost, then it takes replicas again, also of shards that it once held, and nothing is lost.
	cluster.storage(2).kill()
	cluster.run(deathDelay + 6*time.Second)
	cluster.until("groups are complete again", 5*time.Second, cluster.isComplete)
	if len(shardsOf(cluster.placement(), cluster.storage(1).member.ID)) == 0 {
		t.Error("the store that came back has no replicas")
	}
	cluster.until("no store holds more than it is to hold", 10*time.Second, func() bool { return cluster.hasSurplusReplicas() == "" })
	cluster.wantTurns(turns)
}
