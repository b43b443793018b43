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

// selectRelay returns the relay that a step names: by its name, the first that runs for "", otherwise the leader; nil: there is none now.
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

func (f *Fleet) recordFault(kind, text string) {
	f.record(checker.Entry{Kind: checker.Fault, Text: text})
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.changes); n > 0 && !f.changes[n-1].finished {
		f.FaultsDuringChange[kind]++
	}
}

// runStep carries out a step. A step for a relay that is not there now is skipped.
func (f *Fleet) runStep(step *Step) error {
	if step.Action == "start" && step.Relay == "" {
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
	case "part", "served", "verdict":
		return f.awaitRelay(r, step)
	case "copy", "fill", "free", "start-old", "start-none":
		return f.runDiskStep(r, step)
	case "start":
		return f.Start(r)
	case "force":
		f.recordFault("force", "force at "+r.Name)
		status, err := f.Admin(r, node.AdminRequest{Op: "force"}, eventTimeout)
		if err != nil || status.Error != "" {
			return fmt.Errorf("%s can't go on without a majority: %v %w", r.Name, status, err)
		}
		return nil
	}
	f.runRelayStep(r, step)
	return nil
}

func (f *Fleet) startAll() error {
	for _, r := range f.Relays {
		if err := f.Start(r); err != nil {
			return err
		}
	}
	return nil
}

// runFleetStep carries out a step that concerns no single relay; false: it is none.
func (f *Fleet) runFleetStep(step *Step) bool {
	switch step.Action {
	case "propose":
		f.propose(step.Doc)
	case "twice":
		go f.propose(stampedPolicy)
		f.propose(`{"format":1,"stamp":true,"classes":{"transfer":{"worth":3}}}`)
	case "heal":
		f.heal()
	case "split":
		f.recordFault("split", "split")
		for ij, l := range f.links {
			if (ij[0]%2 == 0) != (ij[1]%2 == 0) {
				l.setFaults(&LinkFaults{Cut: true})
			}
		}
	case "links":
		f.recordFault("links", fmt.Sprintf("links %+v", step.Links))
		for _, l := range f.links {
			l.setFaults(&step.Links)
		}
	case "settle":
		f.awaitChange()
	case "rest":
		time.Sleep(step.Length)
	case "limit":
		f.recordFault("limit", fmt.Sprintf("partners take %g calls/s", step.Value))
		f.mu.Lock()
		f.closeBounds()
		f.partnerLimit = step.Value
		f.mu.Unlock()
	case "down", "up":
		f.recordFault(step.Action, fmt.Sprintf("partner %g is %s", step.Value, step.Action))
		f.mu.Lock()
		f.partnersDown[int(step.Value)%partners] = step.Action == "down"
		f.mu.Unlock()
	case "phase":
		f.awaitPhase(step.Phase)
	default:
		return false
	}
	return true
}

// awaitPhase waits until a voter knows a change in a phase or a later one, or four leases long.
func (f *Fleet) awaitPhase(phase string) {
	f.Await(4*f.plan.Lease, func() bool {
		for _, r := range f.Relays[:f.plan.Voters] {
			if !r.Running() {
				continue
			}
			if s, err := f.Admin(r, node.AdminRequest{Op: "status"}, 200*time.Millisecond); err == nil && s.State.Change != nil && s.State.Change.Phase.String() >= phase {
				return true
			}
		}
		return false
	})
}

// awaitRelay waits until a relay has a share of the limits, has made so many calls more, or judges some partner as the step says. That it
// never comes about is an error.
func (f *Fleet) awaitRelay(r *Relay, st *Step) error {
	switch st.Action {
	case "part": // of each partner's limit
		if !f.Await(eventTimeout, func() bool { return f.minShare(r) >= st.Value }) {
			return fmt.Errorf("%s has not come to have %g of the limits: %s", r.Name, st.Value, f.describeRelays())
		}
	case "served": // so many calls more
		calls := func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.callsByRelay[r.Name]
		}
		before := calls()
		if !f.Await(eventTimeout, func() bool { return calls() >= before+int(st.Value) }) {
			return fmt.Errorf("%s has not had %g calls let in", r.Name, st.Value)
		}
	case "verdict": // Phase is the state that it must take some partner for
		if !f.Await(eventTimeout, func() bool {
			s, err := f.Admin(r, node.AdminRequest{Op: "status"}, time.Second)
			return err == nil && s.Quota != nil && slices.ContainsFunc(s.Quota.Keys, func(p node.KeyQuota) bool { return p.State == st.Phase })
		}) {
			return fmt.Errorf("%s takes no partner for %s", r.Name, st.Phase)
		}
	}
	return nil
}

// runDiskStep copies, fills or frees a relay's fleet folder, or restarts the relay from an older copy or from none.
func (f *Fleet) runDiskStep(r *Relay, st *Step) error {
	switch st.Action {
	case "copy":
		f.diskCopies[r.Name] = filepath.Join(f.dir, r.Name+".old")
		return os.CopyFS(f.diskCopies[r.Name], os.DirFS(filepath.Join(r.stateDir, "fleet")))
	case "fill":
		f.recordFault("fill", "the disk of "+r.Name+" is full")
		return os.WriteFile(r.diskFullFile(), nil, 0o600)
	case "free":
		if err := os.Remove(r.diskFullFile()); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	case "start-old", "start-none":
		f.stop(r, syscall.SIGKILL)
		f.recordFault(st.Action, st.Action+" "+r.Name)
		dir := filepath.Join(r.stateDir, "fleet") // not the journal: messages that are gone with it have no end
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
		if old := f.diskCopies[r.Name]; old != "" && st.Action == "start-old" {
			if err := os.CopyFS(dir, os.DirFS(old)); err != nil {
				return err
			}
		}
		return f.Start(r)
	}
	return nil
}

// runRelayStep changes a relay's load, process or links.
func (f *Fleet) runRelayStep(r *Relay, st *Step) {
	switch st.Action {
	case "rate":
		f.clientRates[r.Index].Store(math.Float64bits(st.Value))
	case "kill":
		f.recordFault("kill", "kill "+r.Name)
		f.stop(r, syscall.SIGKILL)
	case "term":
		f.recordFault("term", "term "+r.Name)
		go f.stop(r, syscall.SIGTERM)
	case "stop":
		if r.signal(syscall.SIGSTOP) {
			f.recordFault("stop", fmt.Sprintf("stop %s for %v", r.Name, st.Length))
			time.AfterFunc(st.Length, func() { r.signal(syscall.SIGCONT) })
		}
	case "cut", "cut-in", "cut-out":
		f.recordFault(st.Action, st.Action+" "+r.Name)
		for _, o := range f.Relays {
			l, i := f.linkBetween(r, o)
			if l == nil || len(st.Peers) > 0 && !slices.Contains(st.Peers, o.Name) {
				continue
			}
			if st.Action != "cut-in" {
				l.faults[i].Store(&LinkFaults{Cut: true})
			}
			if st.Action != "cut-out" {
				l.faults[1-i].Store(&LinkFaults{Cut: true})
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
