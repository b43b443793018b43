// Package checker verifies from a recorded history whether the relays of a fleet kept the fleet's invariants. It imports no code of
// the fleet. Packages simulation and testcluster call it with the histories that they record. It keeps no state and may be called from
// any goroutine.
package checker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind is the kind of event that an entry of a history records.
type Kind string

// The kinds of entries.
const (
	Acted    Kind = "acted"    // Relay made a call, or was permitted to act, under Version
	Reported Kind = "said"     // Relay reported the outcome of Version: Dropped, or in force with Digest
	Proposed Kind = "proposed" // a change of version Base, from At to Until; Version: that took effect; 0: none, or not known
	Started  Kind = "started"  // an incarnation of Relay started
	Fault    Kind = "fault"    // Text: the fault that was injected
	Accepted Kind = "taken"    // message ID was accepted, and its client was told so
	Refused  Kind = "refused"  // a client was told to retry, or got no answer
	Ended    Kind = "ended"    // Text: the outcome of message ID
	Log      Kind = "log"      // Text: a log line of Relay, for readers of the history only
	Breached Kind = "broke"    // Text: an observation that is a breach by itself
)

// Entry is one event of a history. All entries are on the same clock.
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

// BreachError reports a history that breaks a rule.
type BreachError struct {
	Rule  string
	Entry Entry
	Text  string
	Index int // of the entry in the history sorted by time
}

// Error names the rule, the relay and the time of the breach.
func (b *BreachError) Error() string {
	return fmt.Sprintf("breach of %q at %v by %s: %s", b.Rule, b.Entry.At.Round(time.Microsecond), b.Entry.Relay, b.Text)
}

// The rules, by their names in errors.
const (
	NoStaleAct        = "old stops before new starts"
	ReportsAgree      = "all relays report the same outcome of a version"
	NoActUnderDropped = "no relay acts under a dropped version"
	Linearizable      = "the versions in force are linearizable"
	SingleOutcome     = "each message has one outcome"
	WithinLimit       = "calls to a partner stay within its limit"
	NoOtherBreach     = "no recorded breach"
)

// Options describe how a history was recorded.
type Options struct {
	Slack            time.Duration // how much later than its start an act may be recorded
	ServePartitioned bool          // partitioned relays continue under the newest version that they know
	AllMustEnd       bool          // every accepted message must have an outcome
	Bounds           []Bound
}

// Bound limits the calls to partner To: those under Version or, if Until is set, those between From and Until under any version. A span of
// any length may have at most Rate times its length plus Burst calls.
type Bound struct {
	Version     uint64
	To          string
	Rate, Burst float64       // calls/s, calls
	From, Until time.Duration // Until 0: for as long as Version is in force
}

// Check returns a breach in a history; nil: the history keeps all rules.
func Check(history []Entry, o Options) *BreachError {
	sorted := sortByTime(history)
	state := historyChecker{options: o, reports: map[uint64]Entry{}, acted: map[uint64]Entry{}, outcomes: map[string]string{}}
	for i, entry := range sorted {
		if rule, text := state.add(entry); rule != "" {
			return &BreachError{rule, entry, text, i}
		}
	}
	if breach := state.checkAllEnded(sorted); breach != nil {
		return breach
	}
	if breach := checkBounds(o.Bounds, sorted); breach != nil {
		return breach
	}
	if entry, ok := linearizable(sorted, o.Slack); !ok && !o.ServePartitioned {
		return &BreachError{Linearizable, entry, "no order of the changes agrees with their bases and the versions that relays acted under", len(sorted) - 1}
	}
	return nil
}

// sortByTime returns a copy of a history, sorted by time.
func sortByTime(history []Entry) []Entry {
	sorted := slices.Clone(history)
	slices.SortStableFunc(sorted, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// checkBounds returns a breach if the calls to a partner exceed a bound.
func checkBounds(bounds []Bound, history []Entry) *BreachError {
	for _, b := range bounds {
		if i, over := b.worstExcess(history); over > 0 {
			return &BreachError{WithinLimit, history[i], fmt.Sprintf("partner %s got %.1f calls more than the bound of %g/s plus %g allows (version %d, from %v to %v)", b.To, over, b.Rate, b.Burst, b.Version, b.From, b.Until), i}
		}
	}
	return nil
}

// historyChecker is the state of the rules after the entries that add was given.
type historyChecker struct {
	options  Options
	newest   Entry             // the first act under the newest version that any relay acted under
	reports  map[uint64]Entry  // the last Reported entry, by version
	acted    map[uint64]Entry  // the first Acted entry, by version
	outcomes map[string]string // by message ID
}

// add checks the next entry. It returns the rule that the entry breaks, empty for none, and a description of the breach.
func (c *historyChecker) add(e Entry) (rule, text string) {
	switch e.Kind {
	case Acted:
		return c.addAct(e)
	case Reported:
		return c.addReport(e)
	case Ended:
		if was, ok := c.outcomes[e.ID]; ok && was != e.Text {
			return SingleOutcome, fmt.Sprintf("message %s has two outcomes: %s and %s", e.ID, was, e.Text)
		}
		c.outcomes[e.ID] = e.Text
	case Breached:
		return NoOtherBreach, e.Text
	}
	return "", ""
}

// checkAllEnded returns a breach if Options.AllMustEnd is set and an accepted message has no outcome.
func (c *historyChecker) checkAllEnded(history []Entry) *BreachError {
	if !c.options.AllMustEnd {
		return nil
	}
	for i, entry := range history {
		if entry.Kind == Accepted && c.outcomes[entry.ID] == "" {
			return &BreachError{SingleOutcome, entry, entry.ID + " was accepted and has no outcome", i}
		}
	}
	return nil
}

// addAct checks that a relay acts neither under an older version than another has acted under, nor under a dropped one.
func (c *historyChecker) addAct(e Entry) (rule, text string) {
	if e.Version < c.newest.Version && !c.options.ServePartitioned && e.At-c.newest.At > c.options.Slack {
		return NoStaleAct, fmt.Sprintf("acts under version %d although %s has acted under %d since %v", e.Version, c.newest.Relay, c.newest.Version,
			c.newest.At.Round(time.Microsecond))
	}
	if e.Version > c.newest.Version {
		c.newest = e
	}
	if _, ok := c.acted[e.Version]; !ok {
		c.acted[e.Version] = e
	}
	if earlier, ok := c.reports[e.Version]; ok && earlier.Dropped {
		return NoActUnderDropped, fmt.Sprintf("acts under version %d, which was dropped", e.Version)
	}
	return "", ""
}

// addReport checks that all relays report the same outcome of a version, and that none acted under a dropped one.
func (c *historyChecker) addReport(e Entry) (rule, text string) {
	earlier, ok := c.reports[e.Version]
	if ok && (earlier.Dropped != e.Dropped || earlier.Digest != e.Digest) {
		return ReportsAgree, fmt.Sprintf("reports for version %d dropped %v, digest %x; %s reported dropped %v, digest %x", e.Version, e.Dropped, e.Digest, earlier.Relay, earlier.Dropped, earlier.Digest)
	}
	c.reports[e.Version] = e
	if act, acted := c.acted[e.Version]; e.Dropped && acted {
		return NoActUnderDropped, fmt.Sprintf("version %d was dropped, but %s acted under it at %v", e.Version, act.Relay, act.At)
	}
	return "", ""
}

// worstExcess returns the index of the entry at which a history exceeds the bound the most, and the excess in calls, 0 for none. It
// simulates a leaky bucket of size Burst that drains at Rate, which overflows exactly in the histories that exceed the bound.
func (b *Bound) worstExcess(history []Entry) (index int, excess float64) {
	level, last := 0.0, time.Duration(0)
	for i, entry := range history {
		if !b.covers(entry) {
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

// covers reports whether an entry is a call to which the bound applies.
func (b *Bound) covers(entry Entry) bool {
	if entry.Kind != Acted || entry.To != b.To {
		return false
	}
	if b.Until == 0 {
		return entry.Version == b.Version
	}
	return entry.At >= b.From && entry.At <= b.Until
}

// CountStaleActs counts the acts under a version after another relay acted under a newer one, and returns the longest time between the two.
// They are the cost of letting partitioned relays serve.
func CountStaleActs(history []Entry) (count int, longest time.Duration) {
	supersededAt := map[uint64]time.Duration{} // when a relay first acted under a newer version
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

// operation is a read or a compare-and-set of the version in force.
type operation struct {
	isRead  bool
	version uint64 // that was read or set
	base    uint64 // version that a compare-and-set replaced
}

// registerModel models the version in force as a register with compare-and-set.
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

// Bounds of the search for a linearization. Histories with more changes are checked by the other rules only.
const (
	maxChanges    = 40
	searchTimeout = 5 * time.Second
)

// relayVersion identifies the acts of a relay under a version.
type relayVersion struct {
	relay   string
	version uint64
}

// linearizable reports whether the changes that took effect and the versions that relays acted under are linearizable. It also returns the
// entry of the last change.
func linearizable(history []Entry, slack time.Duration) (last Entry, ok bool) {
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
	first, latest := firstAndLastActs(history)
	for _, acts := range []map[relayVersion]Entry{first, latest} {
		for _, act := range acts {
			if known[act.Version] { // a version whose change is not in the history can't be ordered
				add(operation{isRead: true, version: act.Version}, act.At-slack, act.At)
			}
		}
	}
	return last, porcupine.CheckOperationsTimeout(registerModel, operations, searchTimeout) != porcupine.Illegal
}

// firstAndLastActs returns the first and the last act of each relay under each version. The acts between them don't constrain the order
// further.
func firstAndLastActs(history []Entry) (first, last map[relayVersion]Entry) {
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
