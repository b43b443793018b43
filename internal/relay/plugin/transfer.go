package plugin

import (
	"errors"
	"strconv"

	"github.com/tetratelabs/wazero/api"

	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/plugin/store"
)

// maxText bounds how many bytes of a text are copied. It is above the limits for names, header values and reasons, so that those
// limits still apply to a text that was cut.
const maxText = 2 << 10

// copyOverhead is the number of bytes that each copy from a module's memory counts in addition to its size.
const copyOverhead = 64

// bytesAt returns a slice of the module's memory, valid only until the module continues to run. It traps if the range is outside of
// the memory.
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

// text copies a text from the module's memory, cut to maxText bytes.
func (w *worker) text(m api.Memory, at, size uint64) string {
	return string(w.boundedBytes(m, at, size, maxText))
}

// boundedBytes returns the first maxBytes of a range of the module's memory, for the caller to copy to the relay's heap. It traps if
// all copies of the call together exceed PluginCopyBytes.
func (w *worker) boundedBytes(m api.Memory, at, size uint64, maxBytes int) []byte {
	b := bytesAt(m, at, size)
	b = b[:min(len(b), maxBytes)]
	if w.copied += len(b) + copyOverhead; w.copied > w.version.host.limits.PluginCopyBytes {
		panic(ErrCopyLimit)
	}
	return b
}

// writeResult writes as much of value as fits into capacity bytes and returns the full size of value, or rules.Absent if ok is false.
func writeResult[T string | []byte](m api.Memory, value T, ok bool, at, capacity uint64) uint64 {
	if !ok {
		return api.EncodeI32(int32(rules.Absent))
	}
	copy(bytesAt(m, at, capacity), value)
	return uint64(len(value))
}

// truncate cuts text to maxBytes, and escapes it if it has anything but printable ASCII, which logs and header lines can't hold.
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

// storeRefusal returns the refusal that a module receives for an error of its store.
func storeRefusal(err error) rules.Refusal {
	switch {
	case err == nil:
		return rules.None
	case errors.Is(err, store.ErrFull), errors.Is(err, store.ErrKey), errors.Is(err, store.ErrValue):
		return rules.Large
	}
	return rules.Locked
}
