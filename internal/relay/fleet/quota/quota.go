// Package quota splits limits that all relays of a fleet share (calls to a destination, a tenant's quota) into shares that the leader
// leases to relays, and decides from the evidence of several relays whether a destination is down.
//
// A share is a fraction of a limit, whose value may change. Each relay has a guaranteed minimum that is never leased to another. The
// leader's Allocator leases the rest, for as long as the relay lease is valid. The sum of all shares that relays may spend never exceeds 1:
// a share is leased again only after its last lease has expired by any relay's clock. A relay's Lessee has its shares; a CounterTable adds
// up the counters of all relays.
//
// The package does no I/O, reads no clock and starts no goroutine; its types aren't safe for concurrent use. For the bound and its
// derivation see docs/design/shared-state.md.
package quota

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a shared limit by a hash of its name. Two names with the same hash have the same shares, as fractions of their own limits,
// so that the bound holds in spite of a collision.
type Key uint32

// The kinds of keys.
const (
	Destination byte = 'd' // a partner, or a route with its own limit
	Tenant      byte = 't'
	Counter     byte = 'c' // a counter of the core
)

// KeyOf returns the key of a kind and a name.
func KeyOf(kind byte, name string) Key {
	h := xxhash.Sum64String(string(kind) + name)
	return Key(h ^ h>>32)
}

// String returns the key in hexadecimal.
func (k Key) String() string { return fmt.Sprintf("%08x", uint32(k)) }

// State is the state of a destination according to a relay's own calls. It must not depend on verdicts from the leader, which would confirm
// themselves.
type State uint8

// The states.
const (
	Unseen  State = iota
	Healthy       // calls were delivered
	Down          // calls fail, or the destination can't be reached
)

// String returns the name of the state for operators, which is empty for Unseen.
func (s State) String() string { return [...]string{"", "well", "down"}[min(s, Down)] }

// Demand is a relay's report on a key.
type Demand struct {
	Key      Key
	Rate     float64       // units/s that the relay could spend now
	Value    float64       // of a unit, relative to others
	Limit    float64       // units/s for all relays, as last reported by the destination; 0: not reported
	LimitAge time.Duration // since that report
	State    State
	StateAge time.Duration // since the newest call on which State is based was sent
	Wait     time.Duration // remaining wait that the destination asked for
}

// KeyShare is a relay's share of a key, with the fleet's information on the key.
type KeyShare struct {
	Key      Key
	Extra    float64       // fraction in addition to the guaranteed minimum
	Limit    float64       // units/s, from the newest reports; 0: unknown
	LimitAge time.Duration // since the newest report
	State    State         // the leader's verdict; Unseen: the relay relies on its own calls
	StateAge time.Duration // since the newest evidence for State
	Wait     time.Duration // remaining wait that the destination asked any relay for
	MayProbe bool          // it is this relay's turn to probe a destination that is down
}

// MaxKeys is the maximum number of keys in a Request and in a Grant, so that a datagram stays within 1,200 bytes. The keys with the largest
// demand are sent.
const MaxKeys = 48
