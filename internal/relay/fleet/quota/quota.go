// Package quota splits what all relays of a fleet may spend together (calls to a destination, a tenant's quota) into shares
// that the leader leases to relays, and judges by what several relays have seen whether a destination is down.
//
// A share is a fraction of a limit, whatever that limit is now. Each relay has a guaranteed minimum that is never leased to
// another; what is left is leased by the leader's Allocator, for as long as the relay's lease lasts. The sum of all shares that
// any relay may spend never exceeds 1: a share is leased again only once its last lease has surely expired. A relay's Lessee
// has what it was leased; a CounterTable adds up what all relays have counted.
//
// The package does no I/O, reads no clock and starts no goroutine; its types aren't safe for concurrent use. The bound and its
// derivation: docs/design/shared-state.md.
package quota

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies what is shared, by a hash of its name. Two names with the same key have the same shares, which are fractions of each one's
// own limit: the bound is kept all the same.
type Key uint32

// The kinds of what is shared.
const (
	Destination byte = 'd' // a partner, or a route with a limit of its own
	Tenant      byte = 't'
	Counter     byte = 'c' // what a core counts
)

// KeyOf returns the key of a name of a kind.
func KeyOf(kind byte, name string) Key {
	h := xxhash.Sum64String(string(kind) + name)
	return Key(h ^ h>>32)
}

// String returns the key in hexadecimal, as logs have it.
func (k Key) String() string { return fmt.Sprintf("%08x", uint32(k)) }

// State is what a relay has seen of a destination by its own calls. What others have reported to it is no part of that: echoes would keep it
// alive.
type State uint8

// The states.
const (
	Unseen  State = iota
	Healthy       // it delivered
	Down          // it fails what is sent, or can't be reached
)

// String returns the state as operators read it; empty: Unseen.
func (s State) String() string { return [...]string{"", "well", "down"}[min(s, Down)] }

// Demand is what a relay reports of one key.
type Demand struct {
	Key      Key
	Rate     float64       // units a second that it could spend now
	Value    float64       // of a unit, against others'
	Limit    float64       // units a second for all relays, as the destination reported last; 0: not reported
	LimitAge time.Duration // since that
	State    State
	StateAge time.Duration // since the newest call that State is based on was sent
	Wait     time.Duration // that the destination asked for, from now on
}

// KeyShare is a relay's share of one key, and what the fleet knows of that key.
type KeyShare struct {
	Key      Key
	Extra    float64       // beyond its guaranteed minimum, of 1
	Limit    float64       // the freshest that any relay reported; 0: none
	LimitAge time.Duration // since that
	State    State         // the leader's verdict; Unseen: the relay relies on its own calls
	StateAge time.Duration // since the newest evidence for that
	Wait     time.Duration // that the destination asked another relay for, from now on
	MayProbe bool          // it is this relay's turn to probe what is down
}

// MaxKeys bounds the keys in a Request and in a Grant: those with the largest demand are sent. A datagram stays within 1,200 bytes.
const MaxKeys = 48
