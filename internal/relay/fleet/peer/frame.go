// Package peer runs a relay's node.Node in the daemon and connects it to the peers, the disk, the clock, the relay's core and operators'
// commands. It is the only package of the fleet in the daemon with I/O, a clock and goroutines. cmd/mastusher calls it.
//
// One goroutine, Fleet.run, owns the node, the folder and all maps of a Fleet. Another one reads datagrams and sends them to it through a
// channel. Checks of a policy run in goroutines of their own and post their verdicts.
package peer

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"mastusher/internal/relay/fleet/node"
)

const (
	frameMagic       = 0x4d46 // "MF"
	frameVersion     = 1
	frameHeaderBytes = 2 + 1 + 1 + 8 // magic, version, kind, checksum
	maxFrameBytes    = 60 << 10      // a UDP datagram holds 65,507 bytes
)

// The kinds of frames.
const (
	kindPeer         = 1 // from relay to relay
	kindAdminRequest = 2 // from the command line on this machine to its relay
	kindAnswer       = 3 // to kindAdminRequest
)

// frame is the content of a datagram. Its kind determines which of Message, AdminRequest and Answer is set. A field's number is never
// reused.
type frame struct {
	Fleet         string             `cbor:"1,keyasint"`
	From          string             `cbor:"2,keyasint,omitempty"`
	To            string             `cbor:"3,keyasint,omitempty"`
	Generation    uint64             `cbor:"4,keyasint,omitempty"` // of the sender
	Message       *node.Message      `cbor:"5,keyasint,omitempty"`
	AdminRequest  *node.AdminRequest `cbor:"6,keyasint,omitempty"`
	Answer        *node.Status       `cbor:"7,keyasint,omitempty"`
	RequestNumber uint64             `cbor:"8,keyasint,omitempty"` // of the request that Answer answers
}

// Reasons for dropping a frame. Dropped frames are counted by the error text, which operators see in the fleet's status: it must not
// change.
var (
	errTruncated         = errors.New("cut short")
	errNotAFrame         = errors.New("not of mastusher")
	errVersion           = errors.New("of another version")
	errChecksum          = errors.New("garbled") // its checksum is wrong, or its content can't be decoded
	errFleet             = errors.New("of another fleet")
	errUnknownPeer       = errors.New("of a stranger")    // the frame came from another address than that of the peer that it names
	errFormerIncarnation = errors.New("of a former life") // its generation is older than the newest one of its sender
	errOtherRelay        = errors.New("for another relay")
)

// decoding limits the memory and depth of decoded frames.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 14, MaxMapPairs: 1 << 14, MaxNestedLevels: 12,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// pack appends an encoded frame to b. It fails if that has more than maxFrameBytes.
func (f *frame) pack(b []byte, kind byte) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, frameHeaderBytes)...)
	body, err := cbor.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	if b = append(b, body...); len(b)-start > maxFrameBytes {
		return nil, fmt.Errorf("peer: frame has %d bytes, want at most %d", len(b)-start, maxFrameBytes)
	}
	binary.BigEndian.PutUint16(b[start:], frameMagic)
	b[start+2], b[start+3] = frameVersion, kind
	binary.BigEndian.PutUint64(b[start+4:], checksum(kind, b[start+frameHeaderBytes:]))
	return b, nil
}

// checksum returns the checksum of a frame's kind and body.
func checksum(kind byte, body []byte) uint64 {
	return xxhash.Sum64(body) ^ uint64(kind)*0x9e3779b97f4a7c15
}

// unpack decodes a frame, or returns errTruncated, errNotAFrame, errVersion or errChecksum; the frame shares no memory with b.
func unpack(b []byte) (f *frame, kind byte, err error) {
	switch {
	case len(b) < frameHeaderBytes:
		return nil, 0, errTruncated
	case binary.BigEndian.Uint16(b) != frameMagic:
		return nil, 0, errNotAFrame
	case b[2] != frameVersion:
		return nil, 0, errVersion
	}
	kind = b[3]
	if binary.BigEndian.Uint64(b[4:]) != checksum(kind, b[frameHeaderBytes:]) {
		return nil, 0, errChecksum
	}
	f = &frame{}
	if err := decoding.Unmarshal(b[frameHeaderBytes:], f); err != nil {
		return nil, 0, errChecksum
	}
	return f, kind, nil
}
