// Package peer runs a relay's node.Node in the daemon: datagrams to its peers, its folder, its clock, the relay's core and operators'
// commands. It is the only package of the fleet in the daemon that has I/O, a clock and goroutines; cmd/mastusher calls it.
//
// One goroutine, Fleet.run, owns the node, the folder and all maps of a Fleet; another reads datagrams and hands them over by a
// channel. Checks of a policy run on goroutines of their own and post their verdicts.
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
	frameMagic    = 0x4d46 // "MF"
	frameVersion  = 1
	frameHead     = 2 + 1 + 1 + 8 // magic, version, kind, checksum
	maxFrameBytes = 60 << 10      // bytes: a UDP datagram holds 65,507
)

// The kinds of frames.
const (
	kindPeer   = 1 // from relay to relay
	kindAsk    = 2 // from the command line, from this machine only
	kindAnswer = 3
)

// frame is the content of a datagram: one of Message, AdminRequest and Answer, as its kind says. A field's number is never reused.
type frame struct {
	Fleet         string             `cbor:"1,keyasint"`
	From          string             `cbor:"2,keyasint,omitempty"`
	To            string             `cbor:"3,keyasint,omitempty"`
	Generation    uint64             `cbor:"4,keyasint,omitempty"` // of the sender's start
	Message       *node.Message      `cbor:"5,keyasint,omitempty"`
	AdminRequest  *node.AdminRequest `cbor:"6,keyasint,omitempty"`
	Answer        *node.Status       `cbor:"7,keyasint,omitempty"`
	RequestNumber uint64             `cbor:"8,keyasint,omitempty"` // of the request that Answer is for
}

// Why a frame is dropped. Each is counted under its text, which operators see in the fleet's status: it must not change.
var (
	errTruncated         = errors.New("cut short")
	errNotAFrame         = errors.New("not of mastusher")
	errVersion           = errors.New("of another version")
	errChecksum          = errors.New("garbled") // its checksum is wrong, or its content can't be decoded
	errFleet             = errors.New("of another fleet")
	errUnknownPeer       = errors.New("of a stranger")    // its address is not that of the peer that it names
	errFormerIncarnation = errors.New("of a former life") // its generation is older than one that was heard of its sender
	errOtherRelay        = errors.New("for another relay")
)

// decoding bounds what a frame may make its reader build.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 14, MaxMapPairs: 1 << 14, MaxNestedLevels: 12,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// pack appends a frame to b. It fails where the frame has more than maxFrameBytes.
func (f *frame) pack(b []byte, kind byte) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, frameHead)...)
	body, err := cbor.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	if b = append(b, body...); len(b)-start > maxFrameBytes {
		return nil, fmt.Errorf("peer: a message of %d bytes, want %d at most", len(b)-start, maxFrameBytes)
	}
	binary.BigEndian.PutUint16(b[start:], frameMagic)
	b[start+2], b[start+3] = frameVersion, kind
	binary.BigEndian.PutUint64(b[start+4:], checksum(kind, b[start+frameHead:]))
	return b, nil
}

// checksum is the checksum of a frame's kind and body.
func checksum(kind byte, body []byte) uint64 {
	return xxhash.Sum64(body) ^ uint64(kind)*0x9e3779b97f4a7c15
}

// unpack decodes a frame, or returns errTruncated, errNotAFrame, errVersion or errChecksum; the frame shares no memory with b.
func unpack(b []byte) (f *frame, kind byte, err error) {
	switch {
	case len(b) < frameHead:
		return nil, 0, errTruncated
	case binary.BigEndian.Uint16(b) != frameMagic:
		return nil, 0, errNotAFrame
	case b[2] != frameVersion:
		return nil, 0, errVersion
	}
	kind = b[3]
	if binary.BigEndian.Uint64(b[4:]) != checksum(kind, b[frameHead:]) {
		return nil, 0, errChecksum
	}
	f = &frame{}
	if err := decoding.Unmarshal(b[frameHead:], f); err != nil {
		return nil, 0, errChecksum
	}
	return f, kind, nil
}
