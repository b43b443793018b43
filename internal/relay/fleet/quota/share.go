// Package quota splits what all relays of a fleet may spend together (calls to a destination, a tenant's quota) into parts
// that are lent, returned and reclaimed, and judges by what several relays have seen whether a destination is down. It does no
// I/O, reads no clock and starts no goroutine.
//
// A right is a part of 1 of a limit, whatever that limit is now. Each relay has a floor of its own that is never lent; what is
// left is lent by whoever leads, for as long as a lease. See docs/design/shared-state.md for the bound and its derivation.
package quota

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names what is shared. Two names that have one key only share their parts, which are parts of each one's own limit: the
// bound holds all the same.
type Key uint32

// The kinds of what is shared.
const (
	Destination byte = 'd' // a partner, or a route that stands apart
	Tenant      byte = 't'
	Counter     byte = 'c' // a counter
)

// KeyOf is the key of a name.
func KeyOf(kind byte, name string) Key {
	h := xxhash.Sum64String(string(kind) + name)
	return Key(h ^ h>>32)
}

func (k Key) String() string { return fmt.Sprintf("%08x", uint32(k)) }

// State is what a relay has seen of a destination by its own calls. What it only heard is none of it: echoes keep nothing alive.
type State uint8

// The states.
const (
	Unseen  State = iota
	Healthy       // it delivered
	Down          // it fails what is sent, or can't be reached
)

func (s State) String() string { return [...]string{"", "well", "down"}[min(s, Down)] }

// Demand is what a relay tells of one key.
type Demand struct {
	Key      Key
	Rate     float64       // units a second that it could spend now
	Value    float64       // of a unit, against others'
	Limit    float64       // units a second for all relays, as it was told last; 0: not told
	LimitAge time.Duration // since that
	State    State
	StateAge time.Duration // since the newest call that State stands on was sent
	Wait     time.Duration // that the destination has told it to wait from now on
}

// KeyShare is what a relay is told of one key.
type KeyShare struct {
	Key      Key
	Extra    float64       // beyond its floor, of 1
	Limit    float64       // the freshest that any relay was told; 0: none
	LimitAge time.Duration // since that
	State    State         // what the fleet takes it for; Unseen: whatever the relay has seen itself
	StateAge time.Duration // since the newest evidence for that
	Wait     time.Duration // that another was told to wait, from now on
	MayProbe bool          // it is this relay's turn to try what is down
}

// MaxKeys is how many keys a relay tells of, and is told of: those that it needs the most. A datagram stays within 1,200 bytes.
const MaxKeys = 48

const (
	demandBytes   = 4 + 3*2 + 4
	keyShareBytes = 4 + 2*2 + 4
	ageUnit       = 50 * time.Millisecond // of ages and waits on the wire
	probeFlag     = 0x80
)

// ErrListSize is a list of needs or parts that no relay has written.
var ErrListSize = errors.New("share: a list of another size than its entries'")

// toFloat16 is a number in the 16 bits that go on the wire, rounded to zero: what is lent must not grow under way.
func toFloat16(v float64) uint16 {
	if !(v > 0) {
		return 0
	}
	f := float32(min(v, math.MaxFloat32))
	if float64(f) > v { // the conversion may round up
		f = math.Nextafter32(f, 0)
	}
	return uint16(math.Float32bits(f) >> 16)
}

func fromFloat16(b uint16) float64 { return float64(math.Float32frombits(uint32(b) << 16)) }

// RoundToWire is a part as the wire carries it.
func RoundToWire(v float64) float64 { return fromFloat16(toFloat16(v)) }

// encodeAge is a time in a byte, rounded up: what is told is never fresher than it is.
func encodeAge(d time.Duration) byte { return byte(min((max(d, 0)+ageUnit-1)/ageUnit, 255)) }

// EncodeDemands is needs as they go on the wire.
func EncodeDemands(all []Demand) []byte {
	b := make([]byte, 0, demandBytes*len(all))
	for i := range all {
		n := &all[i]
		b = binary.BigEndian.AppendUint32(b, uint32(n.Key))
		for _, v := range [...]float64{n.Rate, n.Value, n.Limit} {
			b = binary.BigEndian.AppendUint16(b, toFloat16(v))
		}
		b = append(b, encodeAge(n.LimitAge), byte(n.State), encodeAge(n.StateAge), encodeAge(n.Wait))
	}
	return b
}

// DecodeDemands reads them.
func DecodeDemands(b []byte) ([]Demand, error) {
	if len(b)%demandBytes != 0 || len(b) > demandBytes*MaxKeys {
		return nil, ErrListSize
	}
	all := make([]Demand, 0, len(b)/demandBytes)
	for ; len(b) > 0; b = b[demandBytes:] {
		v := func(at int) float64 { return finiteOrZero(fromFloat16(binary.BigEndian.Uint16(b[at:]))) }
		age := func(at int) time.Duration { return time.Duration(b[at]) * ageUnit }
		all = append(all, Demand{Key: Key(binary.BigEndian.Uint32(b)), Rate: v(4), Value: v(6), Limit: v(8), LimitAge: age(10),
			State: State(min(b[11], byte(Down))), StateAge: age(12), Wait: age(13)})
	}
	return all, nil
}

// EncodeKeyShares is parts as they go on the wire.
func EncodeKeyShares(all []KeyShare) []byte {
	b := make([]byte, 0, keyShareBytes*len(all))
	for i := range all {
		p := &all[i]
		b = binary.BigEndian.AppendUint32(b, uint32(p.Key))
		b = binary.BigEndian.AppendUint16(b, toFloat16(p.Extra))
		b = binary.BigEndian.AppendUint16(b, toFloat16(p.Limit))
		flags := byte(p.State)
		if p.MayProbe {
			flags |= probeFlag
		}
		b = append(b, encodeAge(p.LimitAge), flags, encodeAge(p.StateAge), encodeAge(p.Wait))
	}
	return b
}

// DecodeKeyShares reads them.
func DecodeKeyShares(b []byte) ([]KeyShare, error) {
	if len(b)%keyShareBytes != 0 || len(b) > keyShareBytes*MaxKeys {
		return nil, ErrListSize
	}
	all := make([]KeyShare, 0, len(b)/keyShareBytes)
	for ; len(b) > 0; b = b[keyShareBytes:] {
		v := func(at int) float64 { return finiteOrZero(fromFloat16(binary.BigEndian.Uint16(b[at:]))) }
		age := func(at int) time.Duration { return time.Duration(b[at]) * ageUnit }
		all = append(all, KeyShare{Key: Key(binary.BigEndian.Uint32(b)), Extra: v(4), Limit: v(6), LimitAge: age(8), State: State(min(b[9]&^probeFlag, byte(Down))),
			StateAge: age(10), Wait: age(11), MayProbe: b[9]&probeFlag != 0})
	}
	return all, nil
}

// finiteOrZero takes what is no sound number for none.
func finiteOrZero(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
