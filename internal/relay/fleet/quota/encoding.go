package quota

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

const (
	demandBytes   = 4 + 3*2 + 4           // key; rate, value, limit; limit age, state, state age, wait
	keyShareBytes = 4 + 2*2 + 4           // key; share, limit; limit age, state, state age, wait
	ageUnit       = 50 * time.Millisecond // unit of ages and waits on the wire, which are at most 255 units
	probeFlag     = 0x80                  // bit for KeyShare.MayProbe in the byte of the state
)

// ErrListSize is returned for an encoded list of demands or shares with an invalid length.
var ErrListSize = errors.New("quota: list length is not a multiple of the entry size, or above MaxKeys entries")

// toFloat16 encodes a number in 16 bits (bfloat16), rounded towards zero: the encoding must never increase a leased share.
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

// fromFloat16 decodes the result of toFloat16. Bytes from the wire may also decode to a negative, infinite or NaN value.
func fromFloat16(b uint16) float64 { return float64(math.Float32frombits(uint32(b) << 16)) }

// RoundToWire returns a share after encoding and decoding: it is not larger, and less than a hundredth smaller.
func RoundToWire(v float64) float64 { return fromFloat16(toFloat16(v)) }

// encodeAge encodes an age in a byte, rounded up: evidence must never appear fresher than it is.
func encodeAge(d time.Duration) byte { return byte(min((max(d, 0)+ageUnit-1)/ageUnit, 255)) }

// EncodeDemands encodes demands for the wire, in demandBytes each. Ages are rounded up, other numbers down.
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

// DecodeDemands decodes the output of EncodeDemands. It returns ErrListSize for an invalid length, or more than MaxKeys demands.
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

// EncodeKeyShares encodes shares for the wire, in keyShareBytes each. Ages are rounded up, other numbers down.
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

// DecodeKeyShares decodes the output of EncodeKeyShares. It returns ErrListSize for an invalid length, or more than MaxKeys shares.
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

// finiteOrZero returns 0 for a value that is not positive and finite.
func finiteOrZero(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
