package vrrp

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"time"
)

// Packet is an advertisement (RFC 9568, section 5.2).
type Packet struct {
	VRID      uint8         // of the virtual router
	Priority  uint8         // 0: the sender stops being active; 255: it owns the addresses
	Advertise time.Duration // Max Advertise Interval, in whole centiseconds on the wire
	Addresses []netip.Addr  // all of one family
}

// Errors of Decode, the reasons to drop a packet (section 7.1).
var (
	// ErrShort is returned for a packet shorter than a header.
	ErrShort = errors.New("vrrp: packet shorter than a header")
	// ErrVersion is returned for a version other than 3.
	ErrVersion = errors.New("vrrp: not version 3")
	// ErrType is returned for a type other than advertisement, the only one that the RFC defines.
	ErrType = errors.New("vrrp: packet type is not advertisement")
	// ErrCount is returned for a packet without addresses, or with more or fewer than it states.
	ErrCount = errors.New("vrrp: address count does not match the packet's length")
	// ErrChecksum is returned for a packet that was damaged, or for one of IPv6 between other addresses.
	ErrChecksum = errors.New("vrrp: wrong checksum")
	// ErrInterval is returned for an advertisement interval of 0.
	ErrInterval = errors.New("vrrp: advertisement interval is 0")
)

const (
	headerBytes     = 8
	version         = 3
	advertisement   = 1 // the type of a packet
	centisecond     = 10 * time.Millisecond
	maxCentiseconds = 0xfff
	protocol        = 112 // protocol number of VRRP, for the pseudo-header
)

// Encode encodes the packet for sending from one address to another. An interval that the format can't hold becomes the nearest that it
// can. By section 5.2.8 the checksum covers only the packet for IPv4, and also a pseudo-header for IPv6.
func (p *Packet) Encode(from, to netip.Addr) []byte {
	b := []byte{version<<4 | advertisement, p.VRID, p.Priority, byte(len(p.Addresses)), 0, 0, 0, 0}
	binary.BigEndian.PutUint16(b[4:], uint16(min(max(p.Advertise/centisecond, 1), maxCentiseconds)))
	for _, a := range p.Addresses {
		b = append(b, a.AsSlice()...)
	}
	binary.BigEndian.PutUint16(b[6:], checksum(b, from, to))
	return b
}

// Decode checks and decodes a packet that was sent from one address to another. The result shares no memory with b.
func Decode(b []byte, from, to netip.Addr) (Packet, error) {
	if len(b) < headerBytes {
		return Packet{}, ErrShort
	}
	if b[0]>>4 != version {
		return Packet{}, ErrVersion
	}
	if b[0]&0xf != advertisement {
		return Packet{}, ErrType
	}
	addressBytes := 4
	if from.Is6() {
		addressBytes = 16
	}
	count := int(b[3])
	if count == 0 || len(b) != headerBytes+count*addressBytes {
		return Packet{}, ErrCount
	}
	if checksum(b, from, to) != 0 {
		return Packet{}, ErrChecksum
	}
	p := Packet{VRID: b[1], Priority: b[2], Advertise: time.Duration(binary.BigEndian.Uint16(b[4:])&maxCentiseconds) * centisecond}
	if p.Advertise == 0 {
		return Packet{}, ErrInterval
	}
	for offset := headerBytes; offset < len(b); offset += addressBytes {
		address, _ := netip.AddrFromSlice(b[offset : offset+addressBytes])
		p.Addresses = append(p.Addresses, address)
	}
	return p, nil
}

// checksum returns the one's complement of the one's complement sum of a packet, which is 0 if its checksum field is correct.
func checksum(b []byte, from, to netip.Addr) uint16 {
	sum := uint32(0)
	add := func(b []byte) {
		for ; len(b) > 1; b = b[2:] {
			sum += uint32(b[0])<<8 | uint32(b[1])
		}
		if len(b) == 1 {
			sum += uint32(b[0]) << 8
		}
	}
	if from.Is6() {
		add(from.AsSlice())
		add(to.AsSlice())
		sum += uint32(len(b)) + protocol
	}
	add(b)
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}
