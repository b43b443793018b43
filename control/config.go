package control

import (
	"fmt"
	"math"
	"time"
)

// Effect says whether sending a message again can repeat its effect at the destination.
type Effect uint8

// The effects of sending a message again.
const (
	Unsafe Effect = iota // must never take effect twice
	Keyed                // the endpoints in DedupScope drop a repeat for the time DedupWindow
	Safe                 // may be repeated any number of times
)

// DedupScope says which endpoints of a destination recognize the repeat of a keyed message.
type DedupScope uint8

// The groups of endpoints that share their record of keys.
const (
	DedupPerEndpoint    DedupScope = iota // the endpoint itself
	DedupPerZone                          // all endpoints in its zone
	DedupPerDestination                   // all endpoints of the destination
)

// Class is one class of messages. The tags are the keys that captures store, here and in the rest of this file.
type Class struct {
	Name        string        `cbor:"Name"`
	Effect      Effect        `cbor:"Effect"`
	DedupScope  DedupScope    `cbor:"Group"`   // only used by a Keyed class
	DedupWindow time.Duration `cbor:"Memory"`  // how long after the first attempt a repeat of a keyed message is dropped
	InOrder     bool          `cbor:"InOrder"` // messages with the same key are sent one at a time, in order of arrival

	LatencyTarget time.Duration `cbor:"Aim"`       // a message delivered within this time earns its full Value
	Deadline      time.Duration `cbor:"Deadline"`  // a message is given up after this time; above 0
	Value         float64       `cbor:"Worth"`     // of one delivery, relative to other classes
	LateValue     float64       `cbor:"LateWorth"` // share of Value that remains at Deadline, 0 to 1
}

// Kind is one kind of destination.
type Kind struct {
	SeparateRoutes     bool `cbor:"Apart"`   // each endpoint is a route of its own, with its own limit, wait and health
	MaxMessagesPerCall int  `cbor:"PerCall"` // most messages in one call; values below 1 count as 1
}

// Tenant is one of the parties that share the service.
type Tenant struct {
	Quota float64 `cbor:"Quota"` // messages a second, over all senders
}

// Settings configure a sender. They change only through [Sender.Reconfigure]. Durations and numbers must not be negative. Zero is valid
// unless the field says otherwise; for an optional mechanism it means off. There are no defaults: the caller's configuration sets every
// field.
type Settings struct {
	// Peers is the number of senders, including this one; at least 1. Limits reported for all senders are divided by it.
	Peers int `cbor:"Peers"`
	// Index is this sender's number among all senders, from 0. It spreads out actions that all senders would otherwise take at the same
	// time.
	Index int `cbor:"Me"`
	// Zone is this sender's zone, numbered as in Endpoint.Zone.
	Zone int `cbor:"Zone"`
	// Classes are the classes of messages, at least one; Event.Class is an index into it.
	Classes []Class `cbor:"Classes"`
	// Kinds are the kinds of destinations; Endpoint.Kind is an index into it. An endpoint of an unlisted kind takes one message per call.
	Kinds []Kind `cbor:"Kinds"`
	// Tenants are the tenants with a quota; Event.Tenant is an index into it. If empty, messages have no tenant.
	Tenants []Tenant `cbor:"Tenants"`
	// Slots is the largest number of calls in flight, at least 1. More slots tolerate more slow destinations, but use more connections.
	Slots int `cbor:"Slots"`
	// MaxOpen is the number of messages without a final answer near which the least valuable ones are shed. 0: no bound. A larger value
	// keeps more messages through an outage, but costs memory and longer waits.
	MaxOpen int `cbor:"MaxOpen"`
	// MaxAttempts is how often one message is sent at most, at least 1. More attempts get more messages past failures and slow calls, but
	// add calls to the destinations and planning time to each Step.
	MaxAttempts int `cbor:"MaxAttempts"`
	// Cancel allows cancelling an attempt in flight.
	Cancel bool `cbor:"Cancel"`
	// ConnIdle is how long an idle connection stays open. 0: connections are not managed. After a failed connect, connections are closed
	// immediately after use for twice this time, so a larger value then costs more handshakes.
	ConnIdle time.Duration `cbor:"ConnIdle"`
	// OverQuotaValue is the share of its value, 0 to 1, that a message beyond its tenant's quota keeps. A larger share protects the other
	// tenants less.
	OverQuotaValue float64 `cbor:"OverWorth"`
	// ValueHalves makes the value of a late message halve with each further LatencyTarget, down to LateValue. Otherwise it falls linearly
	// until the deadline.
	ValueHalves bool `cbor:"WorthHalves"`
	// MaxRetryAfter bounds the Retry-After given with a refusal, and the waits learnt from other senders. A larger value keeps more load
	// off a destination that is busy or down, but is slower to notice that it accepts calls again.
	MaxRetryAfter time.Duration `cbor:"MaxHoldOff"`
	// MarksResubmitted says that the caller marks messages that are submitted again (Event.Resubmitted).
	MarksResubmitted bool `cbor:"MarksAgain"`
	// MustSubscribe says that the endpoint list is only sent on request (Subscribe).
	MustSubscribe bool `cbor:"Ask"`
	// SubscribeWithin bounds the backoff between such requests: to three quarters of it or one second, whichever is longer. A larger
	// value spares the service that answers them, but leaves a sender longer without the list.
	SubscribeWithin time.Duration `cbor:"AskWithin"`
	// DrainGrace is how long a draining endpoint still answers. Only the caller uses it; this package does not.
	DrainGrace time.Duration `cbor:"DrainGrace"`
	// SlowStartShare is the share of its capacity, 0 to 1, that a destination is assumed to have right after an outage. A value above the
	// actual share overloads it again.
	SlowStartShare float64 `cbor:"StartShare"`
	// SlowStart is how long after an outage a destination takes to reach full capacity. 0: it has it immediately. A longer time is
	// gentler, but leaves messages waiting.
	SlowStart time.Duration `cbor:"Cold"`
	// OverloadWindow is the period over which OverloadMultiple counts calls. It describes the destinations and is there for tests and
	// simulations; no decision uses it.
	OverloadWindow time.Duration `cbor:"Fall"`
	// OverloadMultiple is the multiple of its current capacity at which a returning destination is overloaded again; see slowStartMargin.
	// A larger value sends more during slow start.
	OverloadMultiple float64 `cbor:"FallMultiple"`
	// InDoubtDelay is how long the next message of a key waits after an attempt that may still be running. A longer delay keeps the order
	// even if such an attempt runs on for long, but holds up the key's messages.
	InDoubtDelay time.Duration `cbor:"Settle"`
	// CrossZonePrice is the price of an attempt that leaves the zone, in the unit of Class.Value. A higher price accepts more delay, up
	// to a second for each attempt, to stay in the zone.
	CrossZonePrice float64 `cbor:"CrossPrice"`
	// ZoneFee is the price of sending a message on a separate route, by the zone of the route, in the unit of Class.Value.
	ZoneFee []float64 `cbor:"ZoneFee"`
}

// SettingError reports a setting with an invalid value.
type SettingError struct {
	Field   string // the key under which captures store the setting, with list indices: "Classes[0].Aim"
	Problem string // the value, and what is expected instead
}

// Error names the setting, its value and what is expected.
func (e *SettingError) Error() string { return "control: settings: " + e.Field + " is " + e.Problem }

// check returns a [SettingError] for the first field with an invalid value.
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
		fields = append(fields, field{prefix + "Aim", float64(class.LatencyTarget), 0}, field{prefix + "Memory", float64(class.DedupWindow), 0},
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
