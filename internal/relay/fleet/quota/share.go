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
	Count       byte = 'c' // a counter
)

// Of is the key of a name.
func Of(kind byte, name string) Key {
	h := xxhash.Sum64String(string(kind) + name)
	return Key(h ^ h>>32)
}

func (k Key) String() string { return fmt.Sprintf("%08x", uint32(k)) }

// State is what a relay has seen of a destination by its own calls. What it only heard is none of it: echoes keep nothing alive.
type State uint8

// The states.
const (
	Unseen State = iota
	Well         // it delivered
	Down         // it fails what is sent, or can't be reached
)

func (s State) String() string { return [...]string{"", "well", "down"}[min(s, Down)] }

// Need is what a relay tells of one key.
type Need struct {
	Key   Key
	Want  float64       // units a second that it could spend now
	Worth float64       // of a unit, against others'
	Limit float64       // units a second for all relays, as it was told last; 0: not told
	Told  time.Duration // since that
	State State
	Seen  time.Duration // since the newest call that State stands on was sent
	Wait  time.Duration // that the destination has told it to wait from now on
}

// Part is what a relay is told of one key.
type Part struct {
	Key   Key
	Extra float64       // beyond its floor, of 1
	Limit float64       // the freshest that any relay was told; 0: none
	Told  time.Duration // since that
	State State         // what the fleet takes it for; Unseen: whatever the relay has seen itself
	Seen  time.Duration // since the newest evidence for that
	Wait  time.Duration // that another was told to wait, from now on
	Try   bool          // it is this relay's turn to try what is down
}

// MostKeys is how many keys a relay tells of, and is told of: those that it needs the most. A datagram stays within 1,200 bytes.
const MostKeys = 48

const (
	needSize = 4 + 3*2 + 4
	partSize = 4 + 2*2 + 4
	unit     = 50 * time.Millisecond // of ages and waits on the wire
	tryFlag  = 0x80
)

// errSize is a list of needs or parts that no relay has written.
var errSize = errors.New("share: a list of another size than its entries'")

// narrow is a number in the 16 bits that go on the wire, rounded to zero: what is lent must not grow under way.
func narrow(v float64) uint16 {
	if !(v > 0) {
		return 0
	}
	f := float32(min(v, math.MaxFloat32))
	if float64(f) > v { // the conversion may round up
		f = math.Nextafter32(f, 0)
	}
	return uint16(math.Float32bits(f) >> 16)
}

func wide(b uint16) float64 { return float64(math.Float32frombits(uint32(b) << 16)) }

// Round is a part as the wire carries it.
func Round(v float64) float64 { return wide(narrow(v)) }

// older is a time in a byte, rounded up: what is told is never fresher than it is.
func older(d time.Duration) byte { return byte(min((max(d, 0)+unit-1)/unit, 255)) }

// PackNeeds is needs as they go on the wire.
func PackNeeds(all []Need) []byte {
	b := make([]byte, 0, needSize*len(all))
	for i := range all {
		n := &all[i]
		b = binary.BigEndian.AppendUint32(b, uint32(n.Key))
		for _, v := range [...]float64{n.Want, n.Worth, n.Limit} {
			b = binary.BigEndian.AppendUint16(b, narrow(v))
		}
		b = append(b, older(n.Told), byte(n.State), older(n.Seen), older(n.Wait))
	}
	return b
}

// UnpackNeeds reads them.
func UnpackNeeds(b []byte) ([]Need, error) {
	if len(b)%needSize != 0 || len(b) > needSize*MostKeys {
		return nil, errSize
	}
	all := make([]Need, 0, len(b)/needSize)
	for ; len(b) > 0; b = b[needSize:] {
		v := func(at int) float64 { return finite(wide(binary.BigEndian.Uint16(b[at:]))) }
		age := func(at int) time.Duration { return time.Duration(b[at]) * unit }
		all = append(all, Need{Key: Key(binary.BigEndian.Uint32(b)), Want: v(4), Worth: v(6), Limit: v(8), Told: age(10),
			State: State(min(b[11], byte(Down))), Seen: age(12), Wait: age(13)})
	}
	return all, nil
}

// PackParts is parts as they go on the wire.
func PackParts(all []Part) []byte {
	b := make([]byte, 0, partSize*len(all))
	for i := range all {
		p := &all[i]
		b = binary.BigEndian.AppendUint32(b, uint32(p.Key))
		b = binary.BigEndian.AppendUint16(b, narrow(p.Extra))
		b = binary.BigEndian.AppendUint16(b, narrow(p.Limit))
		flags := byte(p.State)
		if p.Try {
			flags |= tryFlag
		}
		b = append(b, older(p.Told), flags, older(p.Seen), older(p.Wait))
	}
	return b
}

// UnpackParts reads them.
func UnpackParts(b []byte) ([]Part, error) {
	if len(b)%partSize != 0 || len(b) > partSize*MostKeys {
		return nil, errSize
	}
	all := make([]Part, 0, len(b)/partSize)
	for ; len(b) > 0; b = b[partSize:] {
		v := func(at int) float64 { return finite(wide(binary.BigEndian.Uint16(b[at:]))) }
		age := func(at int) time.Duration { return time.Duration(b[at]) * unit }
		all = append(all, Part{Key: Key(binary.BigEndian.Uint32(b)), Extra: v(4), Limit: v(6), Told: age(8), State: State(min(b[9]&^tryFlag, byte(Down))),
			Seen: age(10), Wait: age(11), Try: b[9]&tryFlag != 0})
	}
	return all, nil
}

// finite takes what is no sound number for none.
func finite(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
