package storage

import (
	"bytes"
	"encoding/json"
	"strconv"

	"mastusher/internal/tier/replica"
)

// The text around the numbers in the line of an entry record. Most records are entries, so for speed their lines are written and
// parsed without encoding/json.
const (
	entryIndexKey = `{"record":"entry","index":`
	entryTermKey  = `,"epoch":`
	entryKindKey  = `,"kind":`
	entrySizeKey  = `,"size":`
	entryEnd      = "}"
)

// appendEntries appends the records of entries, each line followed by the entry's data.
func appendEntries(buffer []byte, entries []replica.Entry) []byte {
	for i := range entries {
		entry := &entries[i]
		buffer = append(buffer, entryIndexKey...)
		buffer = strconv.AppendUint(buffer, entry.Index, 10)
		buffer = append(buffer, entryTermKey...)
		buffer = strconv.AppendUint(buffer, entry.Term, 10)
		buffer = append(buffer, entryKindKey...)
		buffer = strconv.AppendUint(buffer, uint64(entry.Kind), 10)
		buffer = append(buffer, entrySizeKey...)
		buffer = strconv.AppendInt(buffer, int64(len(entry.Data)), 10)
		buffer = append(buffer, entryEnd...)
		buffer = append(buffer, '\n')
		buffer = append(buffer, entry.Data...)
		buffer = append(buffer, '\n')
	}
	return buffer
}

// parseRecord parses the line of a record.
func parseRecord(text []byte) (record, error) {
	if rec, ok := parseEntryRecord(text); ok {
		return rec, nil
	}
	var rec record
	err := json.Unmarshal(text, &rec)
	return rec, err
}

// parseEntryRecord parses a line that appendEntries has written, and returns false for any other line.
func parseEntryRecord(text []byte) (record, bool) {
	parser := entryParser{text: text}
	index := parser.number(entryIndexKey)
	term := parser.number(entryTermKey)
	kind := parser.number(entryKindKey)
	size := parser.number(entrySizeKey)
	if parser.failed || string(parser.text) != entryEnd || kind > maxEntryKind || size > maxPayloadBytes {
		return record{}, false
	}
	return record{Kind: entryRecord, Index: index, Term: term, EntryKind: replica.EntryKind(kind), Size: int(size)}, true
}

// Bounds of the numbers in the line of an entry record.
const (
	maxEntryKind    = 1<<8 - 1
	maxPayloadBytes = 1<<32 - 1
	maxSafeDigits   = 18 // decimal digits that can't overflow a uint64
)

// entryParser parses the line of an entry record from left to right.
type entryParser struct {
	text   []byte // not parsed yet
	failed bool
}

// number consumes a key and the number after it.
func (p *entryParser) number(key string) uint64 {
	rest, found := bytes.CutPrefix(p.text, []byte(key))
	digits, value := 0, uint64(0)
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		value = value*10 + uint64(rest[digits]-'0')
		digits++
	}
	p.failed = p.failed || !found || digits == 0 || digits > maxSafeDigits
	p.text = rest[digits:]
	return value
}
