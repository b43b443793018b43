package testcluster

import (
	"math/rand/v2"
	"time"

	"mastusher/internal/relay/fleet/node"
)

// propose proposes a change at two relays with the same ticket, since either may be partitioned. An empty document means stampedPolicy.
func (f *Fleet) propose(doc string) {
	base, _ := f.newestVersion()
	if doc == "" {
		doc = stampedPolicy
	}
	proposed := change{ticket: rand.Uint64() | 1, base: base, proposedAt: f.now(), doc: doc}
	f.mu.Lock()
	f.changes = append(f.changes, proposed)
	offset := len(f.changes)
	f.mu.Unlock()
	asked := 0
	for i := range f.Relays {
		relay := f.Relays[(i+offset)%len(f.Relays)]
		if !relay.Running() {
			continue
		}
		_, _ = f.Admin(relay, node.AdminRequest{Op: "propose", Version: base, Doc: []byte(doc), By: "testcluster", Ticket: proposed.ticket},
			500*time.Millisecond)
		if asked++; asked == 2 {
			return
		}
	}
}

// awaitChange waits until the last change has an outcome, but at most four leases: faults may prevent an outcome.
func (f *Fleet) awaitChange() {
	f.Await(4*f.plan.Lease, func() bool {
		f.newestVersion()
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.changes) == 0 || f.changes[len(f.changes)-1].finished
	})
}

// change is a proposed change.
type change struct {
	ticket, base           uint64
	proposedAt, finishedAt time.Duration // finishedAt: when its outcome was first seen
	version                uint64        // 0: dropped or unknown
	finished               bool
	doc                    string
}
