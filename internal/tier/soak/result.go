package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Violation is a violation of one of the tier's guarantees.
type Violation struct {
	Kind string        // in capitals, such as LOST; HARNESS: the soak itself failed
	At   time.Duration // since the start of the run
	Text string
}

// String returns kind, time and text.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %.2f s: %s", v.Kind, v.At.Seconds(), v.Text)
}

// Result holds the violations of a run and what it measured. Times count from the start of the last process after the
// closing fault.
type Result struct {
	Violations  []Violation
	Shards      int // at the first placement; depends on which stores are known by then
	Programs    int
	Turns       int // attempts
	Served      int // completed turns
	Continued   int // completed turns that were continued after the recovery
	Orders      int // acknowledged configurations
	Reads       int
	DisksLost   int
	FirstServed map[string]time.Duration // until the first turn was served, by proxy
	AllServed   time.Duration            // until nearly all requests were served at every proxy

	LeadersElected   time.Duration // until each group had a leader
	ReplicasCaughtUp time.Duration // until all replicas had caught up
	CPUPressure      float64       // share of the recovery's time during which a task on the machine waited for a processor
}

// Kinds returns the number of violations of each kind.
func (r Result) Kinds() map[string]int {
	counts := map[string]int{}
	for _, v := range r.Violations {
		counts[v.Kind]++
	}
	return counts
}

// Text returns the result as one line of key=value pairs.
func (r Result) Text() string {
	text := fmt.Sprintf("shards=%d programs=%d turns=%d served=%d continued=%d orders=%d reads=%d disks=%d allServedS=%.2f ownedS=%.2f wholeS=%.2f pressure=%.2f firstServed=",
		r.Shards, r.Programs, r.Turns, r.Served, r.Continued, r.Orders, r.Reads, r.DisksLost, r.AllServed.Seconds(), r.LeadersElected.Seconds(), r.ReplicasCaughtUp.Seconds(), r.CPUPressure)
	for _, proxy := range slices.Sorted(maps.Keys(r.FirstServed)) {
		text += fmt.Sprintf("%s:%.2f,", proxy, r.FirstServed[proxy].Seconds())
	}
	return fmt.Sprintf("%s violations=%v", strings.TrimSuffix(text, ","), r.Kinds())
}
