package quota

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

const (
	demandBytes   = 4 + 3*2 + 4
	keyShareBytes = 4 + 2*2 + 4
	ageUnit       = 50 * time.Millisecond // of ages and waits on the wire
	probeFlag     = 0x80
)

// ErrListSize is returned for a list of demands or shares whose length no encoder writes.
var ErrListSize = errors.New("quota: length is no multiple of the entry size")

// toFloat16 encodes a number in 16 bits, rounded towards zero: a leased share must never grow by its encoding.
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

// RoundToWire returns a share as it arrives after it was encoded.
func RoundToWire(v float64) float64 { return fromFloat16(toFloat16(v)) }

// encodeAge encodes an age in one byte, rounded up: evidence must never seem fresher than it is.
func encodeAge(d time.Duration) byte { return byte(min((max(d, 0)+ageUnit-1)/ageUnit, 255)) }

// EncodeDemands encodes demands for the wire.
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

// DecodeDemands decodes what EncodeDemands wrote.
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

// EncodeKeyShares encodes shares for the wire.
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

// DecodeKeyShares decodes what EncodeKeyShares wrote.
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

// finiteOrZero returns 0 for what is no finite number.
func finiteOrZero(v float64) float64 {
	if !(v > 0) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
