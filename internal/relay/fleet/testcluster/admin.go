package testcluster

import (
	"context"
	"fmt"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/peer"
)

// Admin sends an operator's request to a relay, and records the past changes in the status that the relay returns. It fails if there is no
// answer before the timeout. A refusal by the relay is in the status.
func (f *Fleet) Admin(r *Relay, request node.AdminRequest, timeout time.Duration) (*node.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, err := peer.SendAdminRequest(ctx, f.adminPeers[r.Name], request)
	if err == nil {
		f.recordStatus(r, status)
	}
	return status, err
}

// recordStatus records the past changes in a status.
func (f *Fleet) recordStatus(r *Relay, status *node.Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.now()
	for _, past := range status.State.PastChanges {
		for i := range f.changes {
			if change := &f.changes[i]; change.ticket == past.Ticket && !change.finished {
				if change.finished, change.finishedAt = true, at; past.DropReason == "" {
					change.version = past.Version
				}
			}
		}
		if past.Version != 0 {
			f.history = append(f.history, checker.Entry{At: at, Kind: checker.Reported, Relay: r.Name, Version: past.Version,
				Digest: past.Digest, Dropped: past.DropReason != ""})
		}
	}
}

// AllAct reports whether all running relays may act, and do so under a version if that is not 0.
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
func (f *Fleet) describeRelays() (text string) {
	for _, r := range f.Relays {
		status, err := f.Admin(r, node.AdminRequest{Op: "status"}, time.Second)
		if err != nil {
			text += fmt.Sprintf("\n%s: %v", r.Name, err)
			continue
		}
		text += fmt.Sprintf("\n%s acts %v (%s), %s, leader %q, epoch %d, index %d, version %d, change %+v, progress %+v", r.Name,
			status.MayAct, status.WhyNot, status.Voter, status.Leader, status.State.Epoch, status.State.Index, status.State.Version,
			status.State.Change, status.Progress)
		if status.Quota != nil {
			text += fmt.Sprintf(", quota %+v, shared limits %+v", *status.Quota, status.Shared)
		}
	}
	return text
}

// minShare returns the smallest share of a relay over the limits of all partners; 0 until the relay has a share of each.
func (f *Fleet) minShare(r *Relay) float64 {
	status, err := f.Admin(r, node.AdminRequest{Op: "status"}, time.Second)
	if err != nil || status.Quota == nil || len(status.Quota.Keys) < partners {
		return 0
	}
	smallest := 1.0
	for _, key := range status.Quota.Keys {
		smallest = min(smallest, key.Share)
	}
	return smallest
}

// activeVoters returns the number of voters that vote or lead.
func (f *Fleet) activeVoters() (n int) {
	for _, r := range f.Relays[:f.plan.Voters] {
		if st, err := f.Admin(r, node.AdminRequest{Op: "status"}, time.Second); err == nil && (st.Voter == "leads" || st.Voter == "votes") {
			n++
		}
	}
	return n
}

// newestVersion returns the newest version in force that any running relay knows, and whether that relay knows a change in progress.
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
