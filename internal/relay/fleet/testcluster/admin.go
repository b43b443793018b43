package testcluster

import (
	"context"
	"fmt"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/peer"
)

// Admin sends an operator's request to a relay, and records what the status in the answer says.
func (f *Fleet) Admin(r *Relay, q node.AdminRequest, within time.Duration) (*node.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	st, err := peer.Ask(ctx, f.adminPeers[r.Name], q)
	if err == nil {
		f.recordStatus(r, st)
	}
	return st, err
}

// recordStatus records the past changes of a status.
func (f *Fleet) recordStatus(r *Relay, st *node.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.now()
	for _, p := range st.State.PastChanges {
		for i := range f.changes {
			if c := &f.changes[i]; c.ticket == p.Ticket && !c.finished {
				if c.finished, c.finishedAt = true, at; p.DropReason == "" {
					c.version = p.Version
				}
			}
		}
		if p.Version != 0 {
			f.history = append(f.history, checker.Entry{At: at, Kind: checker.Reported, Relay: r.Name, Version: p.Version, Digest: p.Digest, Dropped: p.DropReason != ""})
		}
	}
}

// AllAct reports whether all running relays may act, and on a version if that is not 0.
func (f *Fleet) AllAct(version uint64) bool {
	for _, r := range f.Relays {
		if !r.Running() {
			continue
		}
		st, err := f.Admin(r, node.AdminRequest{Op: "status"}, time.Second)
		if err != nil || !st.MayAct || version != 0 && st.State.Version != version {
			return false
		}
	}
	return true
}

// describeRelays formats the status of each relay.
func (f *Fleet) describeRelays() (s string) {
	for _, r := range f.Relays {
		st, err := f.Admin(r, node.AdminRequest{Op: "status"}, time.Second)
		if err != nil {
			s += fmt.Sprintf("\n%s: %v", r.Name, err)
			continue
		}
		s += fmt.Sprintf("\n%s acts %v (%s), %s, leader %q, epoch %d, index %d, version %d, change %+v, progress %+v", r.Name, st.MayAct, st.WhyNot,
			st.Voter, st.Leader, st.State.Epoch, st.State.Index, st.State.Version, st.State.Change, st.Progress)
		if st.Quota != nil {
			s += fmt.Sprintf(", rights %+v, of all %+v", *st.Quota, st.Shared)
		}
	}
	return s
}

// minShare is the smallest share that a relay has of the limit of any partner; 0 until it has one of each.
func (f *Fleet) minShare(r *Relay) float64 {
	s, err := f.Admin(r, node.AdminRequest{Op: "status"}, time.Second)
	if err != nil || s.Quota == nil || len(s.Quota.Keys) < partners {
		return 0
	}
	smallest := 1.0
	for _, p := range s.Quota.Keys {
		smallest = min(smallest, p.Share)
	}
	return smallest
}

// activeVoters counts the voters that vote or lead.
func (f *Fleet) activeVoters() (n int) {
	for _, r := range f.Relays[:f.plan.Voters] {
		if st, err := f.Admin(r, node.AdminRequest{Op: "status"}, time.Second); err == nil && (st.Voter == "leads" || st.Voter == "votes") {
			n++
		}
	}
	return n
}

// newestVersion is the newest version in force that any relay knows, and whether it knows of a change in progress.
func (f *Fleet) newestVersion() (version uint64, open bool) {
	for _, r := range f.Relays {
		if !r.Running() {
			continue
		}
		if st, err := f.Admin(r, node.AdminRequest{Op: "status"}, 300*time.Millisecond); err == nil && st.State.Version >= version {
			version, open = st.State.Version, st.State.Change != nil
		}
	}
	return version, open
}
