package quota

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

const (
	demandBytes   = 4 + 3*2 + 4           // key; rate, value, limit; three ages or waits and the state
	keyShareBytes = 4 + 2*2 + 4           // key; share, limit; three ages or waits and the state
	ageUnit       = 50 * time.Millisecond // of ages and waits on the wire; they end at 255 units
	probeFlag     = 0x80                  // of the byte with the state: KeyShare.MayProbe
)

// ErrListSize is returned for a list of demands or shares whose length no encoder writes.
var ErrListSize = errors.New("quota: length is no multiple of the entry size")

// toFloat16 encodes a number in 16 bits, rounded towards zero: a leased share must never grow by its encoding.
func toFloat16(value float64) uint16 {
	if !(value > 0) {
		return 0
	}
	rounded := float32(min(value, math.MaxFloat32))
	if float64(rounded) > value { // the conversion may round up
		rounded = math.Nextafter32(rounded, 0)
	}
	return uint16(math.Float32bits(rounded) >> 16)
}

// fromFloat16 is the reverse of toFloat16; bytes from the wire may also be negative, infinite or no number.
func fromFloat16(b uint16) float64 { return float64(math.Float32frombits(uint32(b) << 16)) }

// RoundToWire returns a share as it arrives after it was encoded: never larger, and less than a hundredth smaller.
func RoundToWire(v float64) float64 { return fromFloat16(toFloat16(v)) }

// encodeAge encodes an age in one byte, rounded up: evidence must never seem fresher than it is.
func encodeAge(d time.Duration) byte { return byte(min((max(d, 0)+ageUnit-1)/ageUnit, 255)) }

// EncodeDemands encodes demands for the wire, demandBytes each; ages are rounded up, numbers down.
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

// DecodeDemands decodes what EncodeDemands wrote; it returns ErrListSize for another length, or for more than MaxKeys demands.
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

// EncodeKeyShares encodes shares for the wire, keyShareBytes each; ages are rounded up, numbers down.
func EncodeKeyShares(shares []KeyShare) []byte {
	encoded := make([]byte, 0, keyShareBytes*len(shares))
	for i := range shares {
		share := &shares[i]
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(share.Key))
		encoded = binary.BigEndian.AppendUint16(encoded, toFloat16(share.Extra))
		encoded = binary.BigEndian.AppendUint16(encoded, toFloat16(share.Limit))
		flags := byte(share.State)
		if share.MayProbe {
			flags |= probeFlag
		}
		encoded = append(encoded, encodeAge(share.LimitAge), flags, encodeAge(share.StateAge), encodeAge(share.Wait))
	}
	return encoded
}

// DecodeKeyShares decodes what EncodeKeyShares wrote; it returns ErrListSize for another length, or for more than MaxKeys shares.
func DecodeKeyShares(b []byte) ([]KeyShare, error) {
	if len(b)%keyShareBytes != 0 || len(b) > keyShareBytes*MaxKeys {
		return nil, ErrListSize
	}
	all := make([]KeyShare, 0, len(b)/keyShareBytes)
	for ; len(b) > 0; b = b[keyShareBytes:] {
		v := func(at int) float64 { return finiteOrZero(fromFloat16(binary.BigEndian.Uint16(b[at:]))) }
		age := func(at int) time.Duration { return time.Duration(b[at]) * ageUnit }
		all = append(all, KeyShare{Key: Key(binary.BigEndian.Uint32(b)), Extra: v(4), Limit: v(6), LimitAge: age(8),
			State: State(min(b[9]&^probeFlag, byte(Down))), StateAge: age(10), Wait: age(11), MayProbe: b[9]&probeFlag != 0})
	}
	return all, nil
}

// finiteOrZero returns 0 for what is no finite number.
func finiteOrZero(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
