// Package checker judges what the relays of a fleet did, by a history alone: it knows no code of the subsystem. Packages simulation
// and testcluster call it on histories that they recorded. It keeps no state and may be called from any goroutine.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind tells what an entry of a history is.
type Kind string

// The kinds of entries.
const (
	Acted    Kind = "acted"    // Relay took on, or first tried, something under Version
	Reported Kind = "said"     // Relay tells how Version ended: Dropped, or in force with Digest
	Proposed Kind = "proposed" // a change of Base was handed in from At to Until; Version: in force; 0: Dropped or not known
	Started  Kind = "started"  // an incarnation of Relay begins
	Fault    Kind = "fault"    // Text: what was done to the fleet
	Accepted Kind = "taken"    // message ID was accepted, and the client got that answer
	Refused  Kind = "refused"  // a client was asked to come again, or got no answer
	Ended    Kind = "ended"    // message ID had its end: Text
	Log      Kind = "log"      // Text: what Relay logged; for whoever reads the history
	Breached Kind = "broke"    // something that is a breach by itself: Text
)

// Entry is one thing that happened, on one clock for all.
type Entry struct {
	At      time.Duration `json:"at"`
	Until   time.Duration `json:"until,omitempty"`
	Kind    Kind          `json:"kind"`
	Relay   string        `json:"relay,omitempty"`
	Version uint64        `json:"version,omitempty"`
	Base    uint64        `json:"base,omitempty"`
	Digest  uint64        `json:"digest,omitempty"`
	Dropped bool          `json:"dropped,omitempty"`
	ID      string        `json:"id,omitempty"`
	To      string        `json:"to,omitempty"` // the partner that Relay called
	Text    string        `json:"text,omitempty"`
}

// BreachError is an invariant that a history breaks.
type BreachError struct {
	Rule  string
	Entry Entry
	Text  string
	Index int // of the entry in the history sorted by time
}

func (b *BreachError) Error() string {
	return fmt.Sprintf("breach of %q at %v by %s: %s", b.Rule, b.Entry.At.Round(time.Microsecond), b.Entry.Relay, b.Text)
}

// The rules.
const (
	OldStops      = "old stops before new starts"
	SameReport    = "all say the same of a version"
	Dropped       = "a dropped version touches nothing"
	Register      = "the policy in force is one register"
	OneEnd        = "one end for each message"
	Limit         = "no more than a partner may get"
	NoOtherBreach = "nothing else breaks"
)

// Options are what Judge must know of how the history was made.
type Options struct {
	Slack            time.Duration // by which an act may be seen later than it was begun
	ServePartitioned bool          // partitioned relays go on with the version that they know
	AllMustEnd       bool          // all messages that were taken must have their end
	Bounds           []Bound
}

// Bound is what a partner may get under a version, or for a time whatever is in force: in any span Rate times its length and Burst more.
type Bound struct {
	Version     uint64
	To          string
	Rate, Burst float64       // calls a second, calls
	From, Until time.Duration // Until 0: all the time that Version is in force
}

// Judge returns the first breach in a history; nil: it keeps all rules.
func Judge(history []Entry, o Options) *BreachError {
	h := slices.Clone(history)
	slices.SortStableFunc(h, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	j := judge{options: o, statements: map[uint64]Entry{}, acted: map[uint64]Entry{}, ends: map[string]string{}}
	for i, e := range h {
		if rule, text := j.add(e); rule != "" {
			return &BreachError{rule, e, text, i}
		}
	}
	if o.AllMustEnd {
		for i, e := range h {
			if e.Kind == Accepted && j.ends[e.ID] == "" {
				return &BreachError{OneEnd, e, e.ID + " was taken on and has no end", i}
			}
		}
	}
	for _, b := range o.Bounds {
		if i, over := b.broken(h); over > 0 {
			return &BreachError{Limit, h[i], fmt.Sprintf("%s got %.1f calls more than the %g/s and %g more allow (version %d, from %v to %v)", b.To, over, b.Rate, b.Burst, b.Version, b.From, b.Until), i}
		}
	}
	if e, ok := register(h, o.Slack); !ok && !o.ServePartitioned {
		return &BreachError{Register, e, "the changes, their bases and the versions acted on fit no order", len(h) - 1}
	}
	return nil
}

// judge is what the rules need to know of the entries before the current one.
type judge struct {
	options    Options
	newest     Entry            // the first act under the newest version that was acted under
	statements map[uint64]Entry // by version: the last Reported
	acted      map[uint64]Entry // by version: the first Acted
	ends       map[string]string
}

// add takes in the next entry, and returns the rule that it breaks, and how; an empty rule: none.
func (j *judge) add(e Entry) (rule, text string) {
	switch e.Kind {
	case Acted:
		return j.addAct(e)
	case Reported:
		return j.addStatement(e)
	case Ended:
		if was, ok := j.ends[e.ID]; ok && was != e.Text {
			return OneEnd, fmt.Sprintf("%s had two ends: %s and %s", e.ID, was, e.Text)
		}
		j.ends[e.ID] = e.Text
	case Breached:
		return NoOtherBreach, e.Text
	}
	return "", ""
}

// addAct checks that no older version is acted under after a newer one, and none that was dropped.
func (j *judge) addAct(e Entry) (rule, text string) {
	if e.Version < j.newest.Version && !j.options.ServePartitioned && e.At-j.newest.At > j.options.Slack {
		return OldStops, fmt.Sprintf("acts under version %d, and %s has acted under %d since %v", e.Version, j.newest.Relay, j.newest.Version,
			j.newest.At.Round(time.Microsecond))
	}
	if e.Version > j.newest.Version {
		j.newest = e
	}
	if _, ok := j.acted[e.Version]; !ok {
		j.acted[e.Version] = e
	}
	if said, ok := j.statements[e.Version]; ok && said.Dropped {
		return Dropped, fmt.Sprintf("acts under version %d, which was dropped", e.Version)
	}
	return "", ""
}

// addStatement checks that all relays say the same of a version, and that a dropped one was not acted under.
func (j *judge) addStatement(e Entry) (rule, text string) {
	said, ok := j.statements[e.Version]
	if ok && (said.Dropped != e.Dropped || said.Digest != e.Digest) {
		return SameReport, fmt.Sprintf("says that version %d was dropped: %v, digest %x; %s: %v, %x", e.Version, e.Dropped, e.Digest, said.Relay, said.Dropped, said.Digest)
	}
	j.statements[e.Version] = e
	if act, acted := j.acted[e.Version]; e.Dropped && acted {
		return Dropped, fmt.Sprintf("version %d was dropped, and %s acted under it at %v", e.Version, act.Relay, act.At)
	}
	return "", ""
}

// broken returns where a history goes beyond the bound the most, and by how much; 0: it does not. A bucket that is filled evenly
// and holds Burst takes exactly the histories that keep it.
func (b *Bound) broken(h []Entry) (at int, most float64) {
	level, last := 0.0, time.Duration(0)
	for i, e := range h {
		if e.Kind != Acted || e.To != b.To || b.Until == 0 && e.Version != b.Version || b.Until > 0 && (e.At < b.From || e.At > b.Until) {
			continue
		}
		level = max(0, level-b.Rate*(e.At-last).Seconds()) + 1
		if last = e.At; level-b.Burst > most {
			at, most = i, level-b.Burst
		}
	}
	return at, most
}

// Stale counts the acts under a version after another relay had acted under a newer one, and returns for how long they went on:
// the cost of letting partitioned relays go on.
func Stale(history []Entry) (n int, most time.Duration) {
	h := slices.Clone(history)
	slices.SortStableFunc(h, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	first := map[uint64]time.Duration{} // when a version or a newer one was first acted under
	newest := uint64(0)
	for _, e := range h {
		switch {
		case e.Kind != Acted:
		case e.Version > newest:
			for v := newest; v < e.Version; v++ {
				first[v] = e.At // v is an old one from then on
			}
			newest = e.Version
		case e.Version < newest:
			n++
			most = max(most, e.At-first[e.Version])
		}
	}
	return n, most
}

// op is an operation on the register of the policy in force.
type op struct {
	read    bool
	version uint64 // read, or put there
	base    uint64
}

var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		o := input.(op)
		if o.read {
			return state.(uint64) == o.version, state
		}
		return state.(uint64) == o.base, o.version
	},
}

// register tells whether changes that took hold, and the versions that were acted on, fit one order. Of acts the first and
// the last of each relay and version are enough.
func register(h []Entry, slack time.Duration) (Entry, bool) {
	var ops []porcupine.Operation
	var last Entry
	type key struct {
		relay   string
		version uint64
	}
	first, latest := map[key]Entry{}, map[key]Entry{}
	known := map[uint64]bool{0: true}
	for _, e := range h {
		switch {
		case e.Kind == Proposed && e.Version != 0:
			ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: op{version: e.Version, base: e.Base}, Call: int64(e.At), Return: int64(e.Until)})
			known[e.Version], last = true, e
		case e.Kind == Acted:
			k := key{e.Relay, e.Version}
			if _, ok := first[k]; !ok {
				first[k] = e
			}
			latest[k] = e
		}
	}
	if len(ops) == 0 || len(ops) > 40 {
		return last, true // nothing was changed; or more than is worth the search: the other rules have it
	}
	for _, m := range []map[key]Entry{first, latest} {
		for _, e := range m {
			if known[e.Version] { // others' changes are not in this history
				ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: op{read: true, version: e.Version}, Call: int64(e.At - slack), Return: int64(e.At)})
			}
		}
	}
	return last, porcupine.CheckOperationsTimeout(model, ops, 5*time.Second) != porcupine.Illegal
}
