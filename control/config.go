package control

import (
	"fmt"
	"math"
	"time"
)

// Effect says what a repeat of a message does at its destination.
type Effect uint8

// The effects of a repeat.
const (
	Unsafe Effect = iota // must never take effect twice
	Keyed                // a repeat is dropped within Group, for Memory
	Safe                 // may be repeated at will
)

// Group says which endpoints of a destination drop the repeat of a keyed message.
type Group uint8

// The groups of endpoints that share their memory of keys.
const (
	GroupEndpoint Group = iota // the endpoint itself
	GroupZone                  // all endpoints in its zone
	GroupAll                   // all endpoints of the destination
)

// Class is one class of message. The tags are the keys of captures, as everywhere in this file.
type Class struct {
	Name    string        `cbor:"Name"`
	Effect  Effect        `cbor:"Effect"`
	Group   Group         `cbor:"Group"`   // of a Keyed class
	Memory  time.Duration `cbor:"Memory"`  // how long a repeat of a keyed message is dropped, from the first attempt on
	InOrder bool          `cbor:"InOrder"` // messages of one key go one at a time

	LatencyTarget time.Duration `cbor:"Aim"`       // delivered within this time, a message earns Value in full
	Deadline      time.Duration `cbor:"Deadline"`  // given up after this time; above 0
	Value         float64       `cbor:"Worth"`     // of one delivery, relative to other classes
	LateValue     float64       `cbor:"LateWorth"` // share of Value that is left at Deadline, 0 to 1
}

// Kind is one kind of destination.
type Kind struct {
	SeparateRoutes bool `cbor:"Apart"`   // each endpoint is a route of its own, with its own limit, wait and health
	PerCall        int  `cbor:"PerCall"` // messages that one call carries at most; below 1 counts as 1
}

// Tenant is one of those who share the service.
type Tenant struct {
	Quota float64 `cbor:"Quota"` // messages a second within its share, over all senders
}

// Settings configure a sender; they do not change but for [Sender.Reconfigure]. Durations and figures must not be negative. A zero is
// legal unless it is said otherwise, and switches the mechanism off where there is one. No field has a default here: the caller's
// configuration sets each.
type Settings struct {
	// Peers is the number of senders in all, this one included; at least 1. Limits that are reported for all senders are divided by it.
	Peers int `cbor:"Peers"`
	// Index is this sender's number among them, from 0; it spreads what all senders would otherwise do at once.
	Index int `cbor:"Me"`
	// Zone is this sender's zone, in the numbers of Endpoint.Zone.
	Zone int `cbor:"Zone"`
	// Classes of messages, at least one; Event.Class is an index.
	Classes []Class `cbor:"Classes"`
	// Kinds of destinations; Endpoint.Kind is an index. An endpoint of no listed kind takes one message a call.
	Kinds []Kind `cbor:"Kinds"`
	// Tenants have quotas; Event.Tenant is an index. None: messages have no tenant.
	Tenants []Tenant `cbor:"Tenants"`
	// Slots is the number of calls out at once, at least 1. More slots ride out more slow destinations, and cost connections.
	Slots int `cbor:"Slots"`
	// MaxOpen is the number of messages without a final answer at which the least valuable ones are shed. 0: no bound. A larger one keeps
	// more through an outage, and costs memory and longer waits.
	MaxOpen int `cbor:"MaxOpen"`
	// MaxAttempts is how often one message is sent at most, at least 1. More get messages past failures and slow calls; they cost the
	// destinations calls, and each Step the time to plan for them.
	MaxAttempts int `cbor:"MaxAttempts"`
	// Cancel allows calling off an attempt that is out.
	Cancel bool `cbor:"Cancel"`
	// ConnIdle is after how long an idle connection closes by itself. 0: connections are not managed. After a failed connect connections
	// are closed at once for twice as long: a larger one costs more handshakes then.
	ConnIdle time.Duration `cbor:"ConnIdle"`
	// OverQuotaValue is the share of its value that a message beyond its tenant's quota keeps, 0 to 1. A larger one protects the other
	// tenants less.
	OverQuotaValue float64 `cbor:"OverWorth"`
	// ValueHalves has the value of a late message fall by half with each further LatencyTarget, down to LateValue; else it falls
	// evenly until the deadline.
	ValueHalves bool `cbor:"WorthHalves"`
	// MaxRetryAfter bounds the time after which a refused message is asked to come again, and waits learnt from other senders. A larger
	// one keeps more load off a destination that is busy or shut, and notices later that it takes calls again.
	MaxRetryAfter time.Duration `cbor:"MaxHoldOff"`
	// MarksResubmitted says that messages handed in a second time are marked so (Event.Resubmitted).
	MarksResubmitted bool `cbor:"MarksAgain"`
	// MustSubscribe says that the list of endpoints comes only when it is asked for.
	MustSubscribe bool `cbor:"Ask"`
	// SubscribeWithin bounds the backoff between such requests, to three quarters of it or a second, whichever is longer. A larger one
	// spares the service that answers them, and leaves a sender longer without the list.
	SubscribeWithin time.Duration `cbor:"AskWithin"`
	// DrainGrace is for how long a draining endpoint still answers; the caller goes by it, not this package.
	DrainGrace time.Duration `cbor:"DrainGrace"`
	// SlowStartShare is the share of its capacity that a destination has at once when it returns from an outage, 0 to 1. One that is
	// larger than the truth sends more than it takes, and pushes it over again.
	SlowStartShare float64 `cbor:"StartShare"`
	// SlowStart is after what time from its return a destination has all of its capacity again. 0: at once. A longer one is gentler, and
	// leaves messages waiting.
	SlowStart time.Duration `cbor:"Cold"`
	// OverloadWindow is the time over which calls are counted for OverloadMultiple. It is the destinations' own, for whoever checks them;
	// no decision uses it.
	OverloadWindow time.Duration `cbor:"Fall"`
	// OverloadMultiple is the multiple of its current capacity that pushes a returning destination over again. See slowStartMargin. A
	// larger one sends more during slow start.
	OverloadMultiple float64 `cbor:"FallMultiple"`
	// InDoubtDelay is how long the next message of a key waits after an attempt that may still be running. A longer one keeps the order
	// also where such an attempt runs on for long, and delays the key's messages.
	InDoubtDelay time.Duration `cbor:"Settle"`
	// CrossZonePrice is the price of an attempt that leaves the zone, in the unit of Class.Value. A larger one accepts more delay, up to a
	// second an attempt, to stay in the zone.
	CrossZonePrice float64 `cbor:"CrossPrice"`
	// ZoneFee is the price of a message that a separate route takes on, by the zone of the route, in the unit of Class.Value.
	ZoneFee []float64 `cbor:"ZoneFee"`
}

// SettingError reports a setting with an impossible figure.
type SettingError struct {
	Field   string // the key under which captures store it, with its place in a list: "Classes[0].Aim"
	Problem string // the figure, and what is wanted instead
}

// Error names the setting and what is wanted of it.
func (e *SettingError) Error() string { return "control: settings: " + e.Field + " is " + e.Problem }

// check returns a [SettingError] for the first field with an impossible figure.
func (set *Settings) check() error {
	type field struct {
		name  string
		value float64
		min   float64
	}
	fields := []field{{"Slots", float64(set.Slots), 1}, {"Peers", float64(set.Peers), 1},
		{"Me", float64(set.Index), 0}, {"MaxAttempts", float64(set.MaxAttempts), 1}, {"Classes", float64(len(set.Classes)), 1},
		{"MaxOpen", float64(set.MaxOpen), 0}, {"MaxHoldOff", float64(set.MaxRetryAfter), 0},
		{"AskWithin", float64(set.SubscribeWithin), 0}, {"DrainGrace", float64(set.DrainGrace), 0},
		{"Cold", float64(set.SlowStart), 0}, {"Fall", float64(set.OverloadWindow), 0}, {"Settle", float64(set.InDoubtDelay), 0},
		{"ConnIdle", float64(set.ConnIdle), 0}, {"StartShare", set.SlowStartShare, 0},
		{"FallMultiple", set.OverloadMultiple, 0}, {"OverWorth", set.OverQuotaValue, 0}, {"CrossPrice", set.CrossZonePrice, 0}}
	for i, fee := range set.ZoneFee {
		fields = append(fields, field{fmt.Sprintf("ZoneFee[%d]", i), fee, 0})
	}
	for i, tenant := range set.Tenants {
		fields = append(fields, field{fmt.Sprintf("Tenants[%d].Quota", i), tenant.Quota, 0})
	}
	for i, class := range set.Classes {
		prefix := fmt.Sprintf("Classes[%d].", i)
		fields = append(fields, field{prefix + "Aim", float64(class.LatencyTarget), 0}, field{prefix + "Memory", float64(class.Memory), 0},
			field{prefix + "Deadline", float64(class.Deadline), 1}, field{prefix + "Worth", class.Value, 0},
			field{prefix + "LateWorth", class.LateValue, 0})
	}
	if set.Index >= set.Peers && set.Peers > 0 {
		return &SettingError{Field: "Me", Problem: fmt.Sprintf("%d, want a number below Peers, %d", set.Index, set.Peers)}
	}
	for _, f := range fields {
		if math.IsNaN(f.value) || math.IsInf(f.value, 0) || f.value < f.min {
			return &SettingError{Field: f.name, Problem: fmt.Sprintf("%v, want a number of %v at least", f.value, f.min)}
		}
	}
	return nil
}
