package controller

import (
	"testing"
	"time"
)

// storeWithSurplus returns the name of a store that runs more replicas than the newest placement gives it; empty: there is none.
func (c *cluster) storeWithSurplus() string {
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

// replaceStore kills a store and waits until other stores have its replicas.
func (c *cluster) replaceStore(number int) {
	c.t.Helper()
	c.storage(number).kill()
	c.run(deathDelay + 6*time.Second)
	c.until("groups are complete", 5*time.Second, c.isComplete)
}

func TestReturningStore_SurplusReplicas_Removed(t *testing.T) {
	// Given a store that was down for so long that other stores have its replicas,
	cluster := newCluster(t, 5)
	cluster.awaitPlacement()
	turns := turnsOf(cluster, 0)
	cluster.replaceStore(1)

	// when the store returns, then it runs only the replicas of the placement: its former ones take no memory.
	cluster.storage(1).start()
	cluster.until("no store has surplus replicas", 10*time.Second, func() bool { return cluster.storeWithSurplus() == "" })
	cluster.wantTurns(turns)

	// And when another store is lost, then the returned one gets replicas again, also of shards that it had before, and no turn is lost.
	cluster.storage(2).kill()
	cluster.run(deathDelay + 6*time.Second)
	cluster.until("groups are complete again", 5*time.Second, cluster.isComplete)
	if len(shardsOf(cluster.placement(), cluster.storage(1).member.ID)) == 0 {
		t.Error("the returned store has no replicas")
	}
	cluster.until("no store has surplus replicas", 10*time.Second, func() bool { return cluster.storeWithSurplus() == "" })
	cluster.wantTurns(turns)
}
