package vrrp

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"time"
)

// Packet is an advertisement.
type Packet struct {
	VRID      uint8
	Priority  uint8         // 0: the router gives up its part; 255: it owns the addresses
	Advertise time.Duration // Max Advertise Interval, in whole centiseconds on the wire
	Addresses []netip.Addr  // all of one family
}

// Why a packet is not taken.
var (
	ErrShort    = errors.New("vrrp: too short")
	ErrVersion  = errors.New("vrrp: not version 3")
	ErrType     = errors.New("vrrp: not an advertisement")
	ErrCount    = errors.New("vrrp: the count of addresses does not fit its length")
	ErrChecksum = errors.New("vrrp: wrong checksum")
	ErrInterval = errors.New("vrrp: no advertisement interval")
)

const (
	header          = 8
	version         = 3
	advert          = 1
	centi           = 10 * time.Millisecond
	maxCentiseconds = 0xfff
	protocol        = 112
)

// Encode returns the packet as it goes from one address to another. As RFC 9568 has it, the checksum of
// IPv4 covers the message alone, that of IPv6 a pseudo-header too.
func (p *Packet) Encode(from, to netip.Addr) []byte {
	b := []byte{version<<4 | advert, p.VRID, p.Priority, byte(len(p.Addresses)), 0, 0, 0, 0}
	binary.BigEndian.PutUint16(b[4:], uint16(min(max(p.Advertise/centi, 1), maxCentiseconds)))
	for _, a := range p.Addresses {
		b = append(b, a.AsSlice()...)
	}
	binary.BigEndian.PutUint16(b[6:], checksum(b, from, to))
	return b
}

// Decode checks and reads a packet that went from one address to another.
func Decode(b []byte, from, to netip.Addr) (Packet, error) {
	if len(b) < header {
		return Packet{}, ErrShort
	}
	if b[0]>>4 != version {
		return Packet{}, ErrVersion
	}
	if b[0]&0xf != advert {
		return Packet{}, ErrType
	}
	size := 4
	if from.Is6() {
		size = 16
	}
	n := int(b[3])
	if n == 0 || len(b) != header+n*size {
		return Packet{}, ErrCount
	}
	if checksum(b, from, to) != 0 {
		return Packet{}, ErrChecksum
	}
	p := Packet{VRID: b[1], Priority: b[2], Advertise: time.Duration(binary.BigEndian.Uint16(b[4:])&maxCentiseconds) * centi}
	if p.Advertise == 0 {
		return Packet{}, ErrInterval
	}
	for at := header; at < len(b); at += size {
		a, _ := netip.AddrFromSlice(b[at : at+size])
		p.Addresses = append(p.Addresses, a)
	}
	return p, nil
}

// checksum is the one's complement of the one's complement sum: 0 over a packet whose checksum is right.
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
