package configuration

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// maxHistory is the number of accepted proposals of which a duplicate is recognized. A larger value recognizes older ones, and
// costs about 17 bytes an entry in memory and in each snapshot.
const maxHistory = 32768

// ErrCorruptHistory is the error of Restore for a snapshot whose history cannot be decoded.
var ErrCorruptHistory = errors.New("corrupt history of configurations")

// historyEntry is one accepted proposal. It builds on the number of the entry before.
type historyEntry struct {
	number uint64
	digest fingerprint
}

// history lists the accepted proposals in the order of acceptance. Each version has exactly one successor, and numbers grow.
type history struct {
	base    uint64 // number that the first entry builds on
	entries []historyEntry
}

// lookupResult is the result of looking up a proposal in the history.
type lookupResult int

const (
	notFound  lookupResult = iota // the proposal was not accepted
	found                         // the proposal was accepted
	truncated                     // the proposal's base is older than the first entry
)

// find looks up the proposal that was accepted on a version, by binary search.
func (h *history) find(base uint64, digest fingerprint) lookupResult {
	if base < h.base {
		return truncated
	}
	next := 0
	if base > h.base {
		at, known := slices.BinarySearchFunc(h.entries, base, func(e historyEntry, number uint64) int { return cmp.Compare(e.number, number) })
		if !known {
			return notFound
		}
		next = at + 1
	}
	if next < len(h.entries) && h.entries[next].digest == digest {
		return found
	}
	return notFound
}

// append adds a proposal that has just been accepted, and drops the oldest entry beyond maxHistory.
func (h *history) append(number uint64, digest fingerprint) {
	h.entries = append(h.entries, historyEntry{number, digest})
	if len(h.entries) > maxHistory {
		h.base = h.entries[0].number
		h.entries = h.entries[1:]
	}
}

// encode writes each entry as a varint, the difference of its number from the one before, followed by its fingerprint.
func (h *history) encode() []byte {
	var raw []byte
	previous := h.base
	for _, e := range h.entries {
		raw = binary.AppendUvarint(raw, e.number-previous)
		raw = append(raw, e.digest[:]...)
		previous = e.number
	}
	return raw
}

// decodeHistory decodes the output of encode. Its errors wrap ErrCorruptHistory.
func decodeHistory(base uint64, raw []byte) (history, error) {
	decoded := history{base: base}
	number := base
	for len(raw) > 0 {
		difference, size := binary.Uvarint(raw)
		if size <= 0 || difference == 0 || len(raw) < size+len(fingerprint{}) {
			return history{}, fmt.Errorf("%w: entry %d is truncated or malformed, or its number is not above the previous one", ErrCorruptHistory, len(decoded.entries))
		}
		number += difference
		e := historyEntry{number: number}
		copy(e.digest[:], raw[size:])
		decoded.entries = append(decoded.entries, e)
		raw = raw[size+len(e.digest):]
	}
	return decoded, nil
}
