package configuration

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// historyBound is the number of orders taken of which a repeat is recognised.
const historyBound = 32768

// fingerprint names an order by its whole content and the version on which it builds.
type fingerprint [16]byte

func fingerprintOf(order *Order) fingerprint {
	sum := sha256.New()
	sum.Write([]byte(strconv.FormatUint(order.Base, 10)))
	sum.Write([]byte{'\n'})
	sum.Write(order.Raw)
	var short fingerprint
	copy(short[:], sum.Sum(nil))
	return short
}

// link is one order that was taken. It builds on the number of the link before.
type link struct {
	number uint64
	sum    fingerprint
}

// chain is the orders that were taken: each version has one successor, and numbers grow.
type chain struct {
	oldest uint64 // number on which the first link builds
	links  []link
}

// match is what a chain knows of an order.
type match int

const (
	other  match = iota // it was not taken
	same                // it was taken
	tooOld              // the orders on its version are forgotten
)

// find looks for the order that was taken on a version. It takes a binary search.
func (c *chain) find(base uint64, sum fingerprint) match {
	if base < c.oldest {
		return tooOld
	}
	next := 0
	if base > c.oldest {
		at, found := slices.BinarySearchFunc(c.links, base, func(l link, number uint64) int {
			switch {
			case l.number < number:
				return -1
			case l.number > number:
				return 1
			}
			return 0
		})
		if !found {
			return other
		}
		next = at + 1
	}
	if next < len(c.links) && c.links[next].sum == sum {
		return same
	}
	return other
}

// add appends an order that has just been taken, and forgets the oldest one beyond the bound.
func (c *chain) add(number uint64, sum fingerprint) {
	c.links = append(c.links, link{number, sum})
	if len(c.links) > historyBound {
		c.oldest = c.links[0].number
		c.links = c.links[1:]
	}
}

// encode writes each link as the difference of its number from the one before, a varint, and its fingerprint.
func (c *chain) encode() []byte {
	var raw []byte
	before := c.oldest
	for _, l := range c.links {
		raw = binary.AppendUvarint(raw, l.number-before)
		raw = append(raw, l.sum[:]...)
		before = l.number
	}
	return raw
}

func decodeChain(oldest uint64, raw []byte) (chain, error) {
	c := chain{oldest: oldest}
	number := oldest
	for len(raw) > 0 {
		difference, size := binary.Uvarint(raw)
		if size <= 0 || difference == 0 || len(raw) < size+len(fingerprint{}) {
			return chain{}, fmt.Errorf("history of orders: link %d cannot be read", len(c.links))
		}
		number += difference
		l := link{number: number}
		copy(l.sum[:], raw[size:])
		c.links = append(c.links, l)
		raw = raw[size+len(l.sum):]
	}
	return c, nil
}
