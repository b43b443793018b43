package plugin

import (
	"errors"
	"strconv"

	"github.com/tetratelabs/wazero/api"

	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/plugin/store"
)

// maxText is more than any name, value or reason may have, in bytes.
const maxText = 2 << 10

// copyOverhead is what each copy out of a module's memory counts beside its bytes.
const copyOverhead = 64

// bytesAt is a part of the module's memory; it holds until the module runs on. Outside of the memory it traps.
func bytesAt(m api.Memory, at, size uint64) []byte {
	if m == nil {
		panic(ErrOutOfBounds)
	}
	b, ok := m.Read(uint32(at), uint32(size))
	if !ok {
		panic(ErrOutOfBounds)
	}
	return b
}

// text is a text that a module hands over, or nearly: of one that is longer than anything it can be good for only
// enough is copied to see that.
func (w *worker) text(m api.Memory, at, size uint64) string {
	return string(w.boundedBytes(m, at, size, maxText))
}

// boundedBytes is the beginning of a part of memory that will be copied, which a call may only have so much of: the heap that
// it is copied to is the relay's. Beyond that it traps.
func (w *worker) boundedBytes(m api.Memory, at, size uint64, maxBytes int) []byte {
	b := bytesAt(m, at, size)
	b = b[:min(len(b), maxBytes)]
	if w.copied += len(b) + copyOverhead; w.copied > w.version.host.limits.PluginCopyBytes {
		panic(ErrCopyLimit)
	}
	return b
}

// writeResult writes as much as fits into capacity bytes and returns the whole size, or that there is none.
func writeResult[T string | []byte](m api.Memory, value T, ok bool, at, capacity uint64) uint64 {
	if !ok {
		return api.EncodeI32(int32(rules.Absent))
	}
	copy(bytesAt(m, at, capacity), value)
	return uint64(len(value))
}

// truncate shortens text and escapes what a log or a header line can't hold.
func truncate(text string, maxBytes int) string {
	if len(text) > maxBytes {
		text = text[:maxBytes]
	}
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			quoted := strconv.QuoteToASCII(text)
			return quoted[1 : len(quoted)-1]
		}
	}
	return text
}

// storeRefusal is what a module is told of an error of its store.
func storeRefusal(err error) rules.Refusal {
	switch {
	case err == nil:
		return rules.None
	case errors.Is(err, store.ErrFull), errors.Is(err, store.ErrKey), errors.Is(err, store.ErrValue):
		return rules.Large
	}
	return rules.Locked
}
