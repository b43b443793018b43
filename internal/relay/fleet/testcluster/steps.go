package testcluster

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
)

// selectRelay returns the relay with a name, the first running one for "", and otherwise the leader; nil: there is none now.
func (f *Fleet) selectRelay(name string) *Relay {
	for _, r := range f.Relays {
		if r.Name == name {
			return r
		}
	}
	for _, r := range f.Relays {
		if !r.Running() {
			continue
		}
		if name == "" {
			return r
		}
		if st, err := f.Admin(r, node.AdminRequest{Op: "status"}, 300*time.Millisecond); err == nil && st.Voter == "leads" {
			return r
		}
	}
	return nil
}

// recordFault records a fault in the history, and counts it by kind if a change is in progress.
func (f *Fleet) recordFault(kind, text string) {
	f.record(checker.Entry{Kind: checker.Fault, Text: text})
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.changes); n > 0 && !f.changes[n-1].finished {
		f.FaultsDuringChange[kind]++
	}
}

// runStep runs a step. It skips a step whose relay does not exist now.
func (f *Fleet) runStep(step *Step) error {
	if step.Action == actionStart && step.Relay == "" {
		return f.startAll()
	}
	if f.runFleetStep(step) {
		return nil
	}
	r := f.selectRelay(step.Relay)
	if r == nil {
		return nil
	}
	switch step.Action {
	case actionAwaitShare, actionAwaitCalls, actionAwaitVerdict:
		return f.awaitRelay(r, step)
	case actionCopyDisk, actionFillDisk, actionFreeDisk, actionStartOldDisk, actionStartNoDisk:
		return f.runDiskStep(r, step)
	case actionStart:
		return f.Start(r)
	case actionForce:
		f.recordFault("force", "force at "+r.Name)
		status, err := f.Admin(r, node.AdminRequest{Op: "force"}, eventTimeout)
		if err != nil || status.Error != "" {
			return fmt.Errorf("forcing a new voter group at %s: status %v: %w", r.Name, status, err)
		}
		return nil
	}
	f.runRelayStep(r, step)
	return nil
}

// startAll starts all relays that are not running.
func (f *Fleet) startAll() error {
	for _, r := range f.Relays {
		if err := f.Start(r); err != nil {
			return err
		}
	}
	return nil
}

// runFleetStep runs a step that concerns no single relay, and reports whether the step is of that kind.
func (f *Fleet) runFleetStep(step *Step) bool {
	switch step.Action {
	case actionPropose:
		f.propose(step.Doc)
	case actionProposeTwice:
		go f.propose(stampedPolicy)
		f.propose(`{"format":1,"stamp":true,"classes":{"transfer":{"worth":3}}}`)
	case actionHeal:
		f.heal()
	case actionSplit:
		f.recordFault("split", "split")
		for ij, l := range f.links {
			if (ij[0]%2 == 0) != (ij[1]%2 == 0) {
				l.setFaults(&LinkFaults{Cut: true})
			}
		}
	case actionSetLinks:
		f.recordFault("links", fmt.Sprintf("links %+v", step.Links))
		for _, l := range f.links {
			l.setFaults(&step.Links)
		}
	case actionAwaitChange:
		f.awaitChange()
	case actionRest:
		time.Sleep(step.Length)
	case actionSetLimit:
		f.recordFault("limit", fmt.Sprintf("partners take %g calls/s", step.Value))
		f.mu.Lock()
		f.closeBounds()
		f.partnerLimit = step.Value
		f.mu.Unlock()
	case actionPartnerDown, actionPartnerUp:
		f.recordFault(step.Action, fmt.Sprintf("partner %g is %s", step.Value, step.Action))
		f.mu.Lock()
		f.partnersDown[int(step.Value)%partners] = step.Action == actionPartnerDown
		f.mu.Unlock()
	case actionAwaitPhase:
		f.awaitPhase(step.Phase)
	default:
		return false
	}
	return true
}

// awaitPhase waits until a voter knows a change in a phase or a later one, but at most four leases.
func (f *Fleet) awaitPhase(phase string) {
	f.Await(4*f.plan.Lease, func() bool {
		for _, r := range f.Relays[:f.plan.Voters] {
			if !r.Running() {
				continue
			}
			if s, err := f.Admin(r, node.AdminRequest{Op: "status"}, 200*time.Millisecond); err == nil && s.State.Change != nil &&
				s.State.Change.Phase.String() >= phase {
				return true
			}
		}
		return false
	})
}

// awaitRelay waits until a relay has a minimum share of the limits, has made a number of further calls, or has a verdict on some partner.
// It returns a StepTimeoutError if that does not happen in time.
func (f *Fleet) awaitRelay(r *Relay, step *Step) error {
	switch step.Action {
	case actionAwaitShare: // Value is the share of each partner's limit
		if !f.Await(eventTimeout, func() bool { return f.minShare(r) >= step.Value }) {
			return &StepTimeoutError{fmt.Sprintf("%s does not have a share of %g of each limit: %s", r.Name, step.Value, f.describeRelays())}
		}
	case actionAwaitCalls: // Value is the number of calls
		calls := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.callsByRelay[r.Name]
		}
		before := calls()
		if !f.Await(eventTimeout, func() bool { return calls() >= before+int(step.Value) }) {
			return &StepTimeoutError{fmt.Sprintf("%s has made fewer than %g calls that took effect", r.Name, step.Value)}
		}
	case actionAwaitVerdict: // Phase is the expected state of some partner
		if !f.Await(eventTimeout, func() bool {
			status, err := f.Admin(r, node.AdminRequest{Op: "status"}, time.Second)
			return err == nil && status.Quota != nil && slices.ContainsFunc(status.Quota.Keys,
				func(key node.KeyQuota) bool { return key.State == step.Phase })
		}) {
			return &StepTimeoutError{fmt.Sprintf("%s has no partner with verdict %s", r.Name, step.Phase)}
		}
	}
	return nil
}

// runDiskStep copies a relay's fleet folder, fills or frees its disk, or restarts the relay from a copy of the folder or without it.
func (f *Fleet) runDiskStep(r *Relay, step *Step) error {
	switch step.Action {
	case actionCopyDisk:
		f.diskCopies[r.Name] = filepath.Join(f.dir, r.Name+".old")
		return os.CopyFS(f.diskCopies[r.Name], os.DirFS(filepath.Join(r.stateDir, "fleet")))
	case actionFillDisk:
		f.recordFault("fill", "the disk of "+r.Name+" is full")
		return os.WriteFile(r.diskFullFile(), nil, 0o600)
	case actionFreeDisk:
		if err := os.Remove(r.diskFullFile()); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	case actionStartOldDisk, actionStartNoDisk:
		f.stop(r, syscall.SIGKILL)
		f.recordFault(step.Action, step.Action+" "+r.Name)
		dir := filepath.Join(r.stateDir, "fleet") // the journal stays: without it messages would have no outcome
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
		if old := f.diskCopies[r.Name]; old != "" && step.Action == actionStartOldDisk {
			if err := os.CopyFS(dir, os.DirFS(old)); err != nil {
				return err
			}
		}
		return f.Start(r)
	}
	return nil
}

// runRelayStep runs a step that changes a relay's load, process or links.
func (f *Fleet) runRelayStep(r *Relay, step *Step) {
	switch step.Action {
	case actionSetRate:
		f.clientRates[r.Index].Store(math.Float64bits(step.Value))
	case actionKill:
		f.recordFault("kill", "kill "+r.Name)
		f.stop(r, syscall.SIGKILL)
	case actionTerminate:
		f.recordFault("term", "term "+r.Name)
		go f.stop(r, syscall.SIGTERM)
	case actionStop:
		if r.signal(syscall.SIGSTOP) {
			f.recordFault("stop", fmt.Sprintf("stop %s for %v", r.Name, step.Length))
			time.AfterFunc(step.Length, func() { r.signal(syscall.SIGCONT) })
		}
	case actionPartition, actionPartitionIncoming, actionPartitionOutgoing:
		f.recordFault(step.Action, step.Action+" "+r.Name)
		for _, other := range f.Relays {
			peerLink, side := f.linkBetween(r, other)
			if peerLink == nil || len(step.Peers) > 0 && !slices.Contains(step.Peers, other.Name) {
				continue
			}
			if step.Action != actionPartitionIncoming {
				peerLink.faults[side].Store(&LinkFaults{Cut: true})
			}
			if step.Action != actionPartitionOutgoing {
				peerLink.faults[1-side].Store(&LinkFaults{Cut: true})
			}
		}
	}
}

// heal ends the faults of all links.
func (f *Fleet) heal() {
	for _, l := range f.links {
		l.setFaults(&LinkFaults{})
	}
}
