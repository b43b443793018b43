package storage

import (
	"bytes"
	"encoding/json"
	"strconv"

	"mastusher/internal/tier/replica"
)

// The parts of an entry's line. Most records are entries, so their lines are written and read by hand.
const (
	entryIndexPart = `{"record":"entry","index":`
	entryEpochPart = `,"epoch":`
	entryKindPart  = `,"kind":`
	entrySizePart  = `,"size":`
	entryEndPart   = "}"
)

// appendEntries appends entries with their data.
func appendEntries(buffer []byte, entries []replica.Entry) []byte {
	for i := range entries {
		entry := &entries[i]
		buffer = append(buffer, entryIndexPart...)
		buffer = strconv.AppendUint(buffer, entry.Index, 10)
		buffer = append(buffer, entryEpochPart...)
		buffer = strconv.AppendUint(buffer, entry.Term, 10)
		buffer = append(buffer, entryKindPart...)
		buffer = strconv.AppendUint(buffer, uint64(entry.Kind), 10)
		buffer = append(buffer, entrySizePart...)
		buffer = strconv.AppendInt(buffer, int64(len(entry.Data)), 10)
		buffer = append(buffer, entryEndPart...)
		buffer = append(buffer, '\n')
		buffer = append(buffer, entry.Data...)
		buffer = append(buffer, '\n')
	}
	return buffer
}

// parseRecord reads a line.
func parseRecord(text []byte) (record, error) {
	if line, ok := parseEntry(text); ok {
		return line, nil
	}
	var line record
	err := json.Unmarshal(text, &line)
	return line, err
}

// parseEntry reads a line that appendEntries has written. Any other line is left to the JSON decoder.
func parseEntry(text []byte) (record, bool) {
	line := lineReader{text: text}
	index := line.number(entryIndexPart)
	epoch := line.number(entryEpochPart)
	kind := line.number(entryKindPart)
	size := line.number(entrySizePart)
	if line.failed || string(line.text) != entryEndPart || kind > maxEntryKind || size > maxFrameBytes {
		return record{}, false
	}
	return record{Kind: entryRecord, Index: index, Epoch: epoch, EntryKind: replica.EntryKind(kind), Size: int(size)}, true
}

// Bounds of what a line's numbers may be.
const (
	maxEntryKind   = 1<<8 - 1
	maxFrameBytes  = 1<<32 - 1
	maxDigitsShort = 18 // a number of as many digits cannot overflow
)

// lineReader reads a line from its start on.
type lineReader struct {
	text   []byte
	failed bool
}

// number reads a part of the line and the number behind it.
func (l *lineReader) number(part string) uint64 {
	rest, found := bytes.CutPrefix(l.text, []byte(part))
	digits, value := 0, uint64(0)
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		value = value*10 + uint64(rest[digits]-'0')
		digits++
	}
	l.failed = l.failed || !found || digits == 0 || digits > maxDigitsShort
	l.text = rest[digits:]
	return value
}
