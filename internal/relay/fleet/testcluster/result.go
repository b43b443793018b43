package testcluster

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/internal/relay/fleet/checker"
)

// Result is the outcome of a scenario.
type Result struct {
	Scenario           Scenario
	StartedAt          time.Time
	Breach             *checker.BreachError
	Stuck              string // what did not happen although all faults were over; "": nothing
	History            []checker.Entry
	FaultsDuringChange map[string]int // by kind, that were injected while a change was in progress
	Changes            int
	InForce            int // changes that took effect
	Accepted           int
	Calls              int
	Answers            *hdrhistogram.Histogram // response times of accepted messages, in µs
	FormationTime      time.Duration           // from the start of the processes until all act
	ChangeTimes        []time.Duration         // from proposal until the outcome was seen, of changes that took effect
	Bytes              int64                   // between relays
	AcceptedByCounters int                     // accepted messages by the fleet's own counters
	StaleActs          int                     // acts under an older version than another relay had acted under
	MaxStaleness       time.Duration           // longest time after that
}

// Bad reports whether there was a breach or the fleet was stuck.
func (r *Result) Bad() bool { return r.Breach != nil || r.Stuck != "" }

// String describes the outcome in a line, but for what relays say of themselves where the fleet was stuck.
func (r *Result) String() string {
	text := fmt.Sprintf("%s: %d of %d changes in force, %d messages taken on, %d calls", r.Scenario.Name, r.InForce, r.Changes, r.Accepted, r.Calls)
	switch {
	case r.Breach != nil:
		return fmt.Sprintf("%s: %v (seed %d)", text, r.Breach, r.Scenario.Seed)
	case r.Stuck != "":
		return fmt.Sprintf("%s: stuck: %s (seed %d)", text, r.Stuck, r.Scenario.Seed)
	}
	if r.StaleActs > 0 {
		text += fmt.Sprintf(", %d of them under an older policy than others acted under, for %v at most", r.StaleActs,
			r.MaxStaleness.Round(time.Millisecond))
	}
	return text + ": no breach"
}
