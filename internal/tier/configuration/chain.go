package configuration

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// maxHistory is the number of orders taken of which a repeat is recognised.
const maxHistory = 32768

// fingerprint names an order by its whole content and the version on which it builds.
type fingerprint [16]byte

func fingerprintOf(order *Proposal) fingerprint {
	sum := sha256.New()
	sum.Write([]byte(strconv.FormatUint(order.Base, 10)))
	sum.Write([]byte{'\n'})
	sum.Write(order.Raw)
	var short fingerprint
	copy(short[:], sum.Sum(nil))
	return short
}

// historyEntry is one order that was taken. It builds on the number of the link before.
type historyEntry struct {
	number uint64
	digest fingerprint
}

// history is the orders that were taken: each version has one successor, and numbers grow.
type history struct {
	base    uint64 // number on which the first link builds
	entries []historyEntry
}

// lookupResult is what a chain knows of an order.
type lookupResult int

const (
	notFound  lookupResult = iota // it was not taken
	found                         // it was taken
	truncated                     // the orders on its version are forgotten
)

// find looks for the order that was taken on a version. It takes a binary search.
func (c *history) find(base uint64, sum fingerprint) lookupResult {
	if base < c.base {
		return truncated
	}
	next := 0
	if base > c.base {
		at, found := slices.BinarySearchFunc(c.entries, base, func(l historyEntry, number uint64) int {
			switch {
			case l.number < number:
				return -1
			case l.number > number:
				return 1
			}
			return 0
		})
		if !found {
			return notFound
		}
		next = at + 1
	}
	if next < len(c.entries) && c.entries[next].digest == sum {
		return found
	}
	return notFound
}

// append appends an order that has just been taken, and forgets the oldest one beyond the bound.
func (c *history) append(number uint64, sum fingerprint) {
	c.entries = append(c.entries, historyEntry{number, sum})
	if len(c.entries) > maxHistory {
		c.base = c.entries[0].number
		c.entries = c.entries[1:]
	}
}

// encode writes each link as the difference of its number from the one before, a varint, and its fingerprint.
func (c *history) encode() []byte {
	var raw []byte
	before := c.base
	for _, l := range c.entries {
		raw = binary.AppendUvarint(raw, l.number-before)
		raw = append(raw, l.digest[:]...)
		before = l.number
	}
	return raw
}

func decodeHistory(oldest uint64, raw []byte) (history, error) {
	c := history{base: oldest}
	number := oldest
	for len(raw) > 0 {
		difference, size := binary.Uvarint(raw)
		if size <= 0 || difference == 0 || len(raw) < size+len(fingerprint{}) {
			return history{}, fmt.Errorf("history of orders: link %d cannot be read", len(c.entries))
		}
		number += difference
		l := historyEntry{number: number}
		copy(l.digest[:], raw[size:])
		c.entries = append(c.entries, l)
		raw = raw[size+len(l.digest):]
	}
	return c, nil
}
