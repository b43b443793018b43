package testcluster

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/internal/relay/fleet/checker"
)

// Result is the result of a scenario.
type Result struct {
	Scenario           Scenario
	StartedAt          time.Time
	Breach             *checker.BreachError
	Stuck              string // what did not happen after all faults ended; "": nothing
	History            []checker.Entry
	FaultsDuringChange map[string]int // by kind, injected while a change was in progress
	Changes            int
	InForce            int // number of changes that took effect
	Accepted           int
	Calls              int
	Answers            *hdrhistogram.Histogram // response times of accepted messages, in µs
	FormationTime      time.Duration           // from the start of the processes until all relays act
	ChangeTimes        []time.Duration         // of changes that took effect, from the proposal until the outcome was recorded
	Bytes              int64                   // between the relays
	AcceptedByCounters int                     // number of accepted messages by the fleet's own counters
	StaleActs          int                     // number of acts after another relay acted under a newer version
	MaxStaleness       time.Duration           // longest time between the two
}

// Bad reports whether there was a breach or the fleet was stuck.
func (r *Result) Bad() bool { return r.Breach != nil || r.Stuck != "" }

// String describes the result in a line, followed by the status of all relays if the fleet was stuck.
func (r *Result) String() string {
	text := fmt.Sprintf("%s: %d of %d changes in force, %d messages accepted, %d calls", r.Scenario.Name, r.InForce, r.Changes, r.Accepted, r.Calls)
	switch {
	case r.Breach != nil:
		return fmt.Sprintf("%s: %v (seed %d)", text, r.Breach, r.Scenario.Seed)
	case r.Stuck != "":
		return fmt.Sprintf("%s: stuck: %s (seed %d)", text, r.Stuck, r.Scenario.Seed)
	}
	if r.StaleActs > 0 {
		text += fmt.Sprintf(", %d of them under an older policy than another relay acted under, for up to %v", r.StaleActs,
			r.MaxStaleness.Round(time.Millisecond))
	}
	return text + ": no breach"
}
