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

// Kind is what an entry of a history records.
type Kind string

// The kinds of entries.
const (
	Acted    Kind = "acted"    // Relay took on, or first tried, something under Version
	Reported Kind = "said"     // Relay tells how Version ended: Dropped, or in force with Digest
	Proposed Kind = "proposed" // a change of Base was proposed from At to Until; Version: in force; 0: Dropped or not known
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

// Error names the rule, the relay and when.
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
	sorted := sortByTime(history)
	rules := judge{options: o, statements: map[uint64]Entry{}, acted: map[uint64]Entry{}, ends: map[string]string{}}
	for i, entry := range sorted {
		if rule, text := rules.add(entry); rule != "" {
			return &BreachError{rule, entry, text, i}
		}
	}
	if breach := rules.checkAllEnded(sorted); breach != nil {
		return breach
	}
	if breach := checkBounds(o.Bounds, sorted); breach != nil {
		return breach
	}
	if entry, ok := register(sorted, o.Slack); !ok && !o.ServePartitioned {
		return &BreachError{Register, entry, "the changes, their bases and the versions acted on fit no order", len(sorted) - 1}
	}
	return nil
}

// sortByTime returns a copy of a history, sorted by time.
func sortByTime(history []Entry) []Entry {
	sorted := slices.Clone(history)
	slices.SortStableFunc(sorted, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// checkBounds returns a breach if a partner got more calls than a bound allows.
func checkBounds(bounds []Bound, history []Entry) *BreachError {
	for _, b := range bounds {
		if i, over := b.worstExcess(history); over > 0 {
			return &BreachError{Limit, history[i], fmt.Sprintf("%s got %.1f calls more than the %g/s and %g more allow (version %d, from %v to %v)", b.To, over, b.Rate, b.Burst, b.Version, b.From, b.Until), i}
		}
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

// checkAllEnded returns a breach if a message that was accepted has no end, where all must have one.
func (j *judge) checkAllEnded(history []Entry) *BreachError {
	if !j.options.AllMustEnd {
		return nil
	}
	for i, entry := range history {
		if entry.Kind == Accepted && j.ends[entry.ID] == "" {
			return &BreachError{OneEnd, entry, entry.ID + " was taken on and has no end", i}
		}
	}
	return nil
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

// worstExcess returns the entry at which a history exceeds the bound the most, and by how many calls; 0: it does not. A bucket that
// is filled evenly and holds Burst takes exactly the histories that keep it.
func (b *Bound) worstExcess(history []Entry) (index int, excess float64) {
	level, last := 0.0, time.Duration(0)
	for i, entry := range history {
		if !b.counts(entry) {
			continue
		}
		level = max(0, level-b.Rate*(entry.At-last).Seconds()) + 1
		last = entry.At
		if level-b.Burst > excess {
			index, excess = i, level-b.Burst
		}
	}
	return index, excess
}

// counts reports whether an entry is a call that the bound counts.
func (b *Bound) counts(entry Entry) bool {
	if entry.Kind != Acted || entry.To != b.To {
		return false
	}
	if b.Until == 0 {
		return entry.Version == b.Version
	}
	return entry.At >= b.From && entry.At <= b.Until
}

// Stale counts the acts under a version after another relay had acted under a newer one, and returns for how long they went on:
// the cost of letting partitioned relays go on.
func Stale(history []Entry) (count int, longest time.Duration) {
	supersededAt := map[uint64]time.Duration{} // when a newer version was first acted under
	newest := uint64(0)
	for _, entry := range sortByTime(history) {
		switch {
		case entry.Kind != Acted:
		case entry.Version > newest:
			for version := newest; version < entry.Version; version++ {
				supersededAt[version] = entry.At
			}
			newest = entry.Version
		case entry.Version < newest:
			count++
			longest = max(longest, entry.At-supersededAt[entry.Version])
		}
	}
	return count, longest
}

// operation is an operation on the register of the policy in force.
type operation struct {
	isRead  bool
	version uint64 // read, or put there
	base    uint64
}

// registerModel is a register with compare-and-set; its state is the version in force.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		call := input.(operation)
		if call.isRead {
			return state.(uint64) == call.version, state
		}
		return state.(uint64) == call.base, call.version
	},
}

// Bounds of the search for an order. Histories with more changes are left to the other rules.
const (
	maxChanges    = 40
	searchTimeout = 5 * time.Second
)

// relayVersion is a version that a relay acted on.
type relayVersion struct {
	relay   string
	version uint64
}

// register reports whether changes that took effect, and the versions that were acted on, fit one order; the entry is the last change.
func register(history []Entry, slack time.Duration) (last Entry, ok bool) {
	var operations []porcupine.Operation
	add := func(call operation, from, until time.Duration) {
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: call, Call: int64(from), Return: int64(until)})
	}
	known := map[uint64]bool{0: true}
	for _, entry := range history {
		if entry.Kind == Proposed && entry.Version != 0 {
			add(operation{version: entry.Version, base: entry.Base}, entry.At, entry.Until)
			known[entry.Version], last = true, entry
		}
	}
	if len(operations) == 0 || len(operations) > maxChanges {
		return last, true
	}
	first, latest := outermostActs(history)
	for _, acts := range []map[relayVersion]Entry{first, latest} {
		for _, act := range acts {
			if known[act.Version] { // others' changes are not in this history
				add(operation{isRead: true, version: act.Version}, act.At-slack, act.At)
			}
		}
	}
	return last, porcupine.CheckOperationsTimeout(registerModel, operations, searchTimeout) != porcupine.Illegal
}

// outermostActs returns the first and the last act of each relay on each version: those between them constrain no order further.
func outermostActs(history []Entry) (first, last map[relayVersion]Entry) {
	first, last = map[relayVersion]Entry{}, map[relayVersion]Entry{}
	for _, entry := range history {
		if entry.Kind != Acted {
			continue
		}
		key := relayVersion{entry.Relay, entry.Version}
		if _, ok := first[key]; !ok {
			first[key] = entry
		}
		last[key] = entry
	}
	return first, last
}
