package testcluster

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
)

// pick is the relay that a step names; nil: there is none such now.
func (f *Fleet) pick(name string) *Relay {
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
		if st, err := f.Ask(r, node.AdminRequest{Op: "status"}, 300*time.Millisecond); err == nil && st.Voter == "leads" {
			return r
		}
	}
	return nil
}

func (f *Fleet) voters() (n int) {
	for _, r := range f.Relays[:f.plan.Voters] {
		if st, err := f.Ask(r, node.AdminRequest{Op: "status"}, time.Second); err == nil && (st.Voter == "leads" || st.Voter == "votes") {
			n++
		}
	}
	return n
}

// newest is the newest version in force that any relay knows, and whether a change is under way.
func (f *Fleet) newest() (version uint64, open bool) {
	for _, r := range f.Relays {
		if !r.Running() {
			continue
		}
		if st, err := f.Ask(r, node.AdminRequest{Op: "status"}, 300*time.Millisecond); err == nil && st.State.Version >= version {
			version, open = st.State.Version, st.State.Change != nil
		}
	}
	return version, open
}

// begin hands a change in, at two relays with one ticket: either may be cut off.
func (f *Fleet) begin(doc string) {
	base, _ := f.newest()
	if doc == "" {
		doc = stamped
	}
	c := change{ticket: rand.Uint64() | 1, base: base, at: f.now(), doc: doc}
	f.mu.Lock()
	f.changes = append(f.changes, c)
	from := len(f.changes)
	f.mu.Unlock()
	told := 0
	for i := range f.Relays {
		r := f.Relays[(i+from)%len(f.Relays)]
		if !r.Running() {
			continue
		}
		_, _ = f.Ask(r, node.AdminRequest{Op: "propose", Version: base, Doc: []byte(doc), By: "rig", Ticket: c.ticket}, 500*time.Millisecond)
		if told++; told == 2 {
			return
		}
	}
}

// settle waits until the last change is over, or can't come to its end before all is well again.
func (f *Fleet) settle() {
	f.Await(4*f.plan.Lease, func() bool {
		f.newest()
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.changes) == 0 || f.changes[len(f.changes)-1].over
	})
}

func (f *Fleet) fault(kind, text string) {
	f.note(checker.Entry{Kind: checker.Fault, Text: text})
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.changes); n > 0 && !f.changes[n-1].over {
		f.Struck[kind]++
	}
}

// do carries out a step. One that names a relay that is not there is passed over.
func (f *Fleet) do(st *Step) error {
	switch st.Do {
	case "propose":
		f.begin(st.Doc)
		return nil
	case "twice":
		go f.begin(stamped)
		f.begin(`{"format":1,"stamp":true,"classes":{"transfer":{"worth":3}}}`)
		return nil
	case "heal":
		f.heal()
		return nil
	case "split":
		f.fault("split", "split")
		for ij, l := range f.links {
			if (ij[0]%2 == 0) != (ij[1]%2 == 0) {
				l.ways[0].Store(&Faults{Cut: true})
				l.ways[1].Store(&Faults{Cut: true})
			}
		}
		return nil
	case "links":
		f.fault("links", fmt.Sprintf("links %+v", st.Links))
		for _, l := range f.links {
			l.ways[0].Store(&st.Links)
			l.ways[1].Store(&st.Links)
		}
		return nil
	case "settle":
		f.settle()
		return nil
	case "rest":
		time.Sleep(st.For)
		return nil
	case "limit":
		f.fault("limit", fmt.Sprintf("partners take %g calls/s", st.Value))
		f.mu.Lock()
		f.closeBounds()
		f.limit = st.Value
		f.mu.Unlock()
		return nil
	case "down", "up":
		f.fault(st.Do, fmt.Sprintf("partner %g is %s", st.Value, st.Do))
		f.mu.Lock()
		f.broken[int(st.Value)%partners] = st.Do == "down"
		f.mu.Unlock()
		return nil
	case "phase":
		f.Await(4*f.plan.Lease, func() bool {
			for _, r := range f.Relays[:f.plan.Voters] {
				if !r.Running() {
					continue
				}
				if s, err := f.Ask(r, node.AdminRequest{Op: "status"}, 200*time.Millisecond); err == nil && s.State.Change != nil && s.State.Change.Phase.String() >= st.Phase {
					return true
				}
			}
			return false
		})
		return nil
	case "start":
		if st.Relay == "" {
			for _, r := range f.Relays {
				if err := f.Start(r); err != nil {
					return err
				}
			}
			return nil
		}
	}
	r := f.pick(st.Relay)
	if r == nil {
		return nil
	}
	switch st.Do {
	case "rate":
		f.rates[r.No].Store(math.Float64bits(st.Value))
	case "part": // of each partner's limit
		if !f.Await(patience, func() bool { return f.least(r) >= st.Value }) {
			return fmt.Errorf("%s has not come to have %g of the limits: %s", r.Name, st.Value, f.standing())
		}
	case "served": // so many calls more
		f.mu.Lock()
		had := f.served[r.Name]
		f.mu.Unlock()
		if !f.Await(patience, func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.served[r.Name] >= had+int(st.Value)
		}) {
			return fmt.Errorf("%s has not had %g calls let in", r.Name, st.Value)
		}
	case "verdict": // it takes some partner for what is told in phase
		if !f.Await(patience, func() bool {
			s, err := f.Ask(r, node.AdminRequest{Op: "status"}, time.Second)
			return err == nil && s.Quota != nil && slices.ContainsFunc(s.Quota.Keys, func(p node.KeyQuota) bool { return p.State == st.Phase })
		}) {
			return fmt.Errorf("%s takes no partner for %s", r.Name, st.Phase)
		}
	case "kill":
		f.fault("kill", "kill "+r.Name)
		f.end(r, syscall.SIGKILL)
	case "term":
		f.fault("term", "term "+r.Name)
		go f.end(r, syscall.SIGTERM)
	case "start":
		return f.Start(r)
	case "copy":
		f.copies[r.Name] = filepath.Join(f.dir, r.Name+".old")
		return os.CopyFS(f.copies[r.Name], os.DirFS(filepath.Join(r.dir, "fleet")))
	case "fill":
		f.fault("fill", "the disk of "+r.Name+" is full")
		return os.WriteFile(r.full(), nil, 0o600)
	case "free":
		if err := os.Remove(r.full()); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	case "start-old", "start-none":
		f.end(r, syscall.SIGKILL)
		f.fault(st.Do, st.Do+" "+r.Name)
		dir := filepath.Join(r.dir, "fleet") // not the journal: messages that are gone with it have no end
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
		if old := f.copies[r.Name]; old != "" && st.Do == "start-old" {
			if err := os.CopyFS(dir, os.DirFS(old)); err != nil {
				return err
			}
		}
		return f.Start(r)
	case "stop":
		if r.signal(syscall.SIGSTOP) {
			f.fault("stop", fmt.Sprintf("stop %s for %v", r.Name, st.For))
			time.AfterFunc(st.For, func() { r.signal(syscall.SIGCONT) })
		}
	case "cut", "cut-in", "cut-out":
		f.fault(st.Do, st.Do+" "+r.Name)
		for _, o := range f.Relays {
			l, i := f.between(r, o)
			if l == nil || len(st.Others) > 0 && !slices.Contains(st.Others, o.Name) {
				continue
			}
			if st.Do != "cut-in" {
				l.ways[i].Store(&Faults{Cut: true})
			}
			if st.Do != "cut-out" {
				l.ways[1-i].Store(&Faults{Cut: true})
			}
		}
	case "force":
		f.fault("force", "force at "+r.Name)
		st, err := f.Ask(r, node.AdminRequest{Op: "force"}, patience)
		if err != nil || st.Error != "" {
			return fmt.Errorf("%s can't go on without a majority: %v %w", r.Name, st, err)
		}
	}
	return nil
}

func (f *Fleet) heal() {
	for _, l := range f.links {
		l.ways[0].Store(&Faults{})
		l.ways[1].Store(&Faults{})
	}
}
