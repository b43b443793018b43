//go:build wasip1

package pluginsdk

import (
	"runtime"
	"time"
)

// Config is the JSON that the configuration has for this plug-in; "": none.
func Config() string { return string(field(fieldConfig)) }

// Name is the plug-in's name in the configuration.
func Name() string { return string(field(fieldName)) }

// Now is the relay's clock, in whole milliseconds. It stands still during a call.
func Now() time.Time { return time.UnixMilli(hostNumber(numberNow)) }

// Random is a random number. Its sequence is the same whenever this plug-in sees this message again in this phase, under
// the same seed of the relay.
func Random() uint64 { return hostRandom() }

// Log writes a line to the relay's log, when the handler has ended; also if the call fails. Of a line 256 bytes are kept, and
// what is not printable ASCII is escaped. There may be 10 lines a call, and 10 a second; further ones are dropped.
func Log(text string) {
	pointer, size := pointerTo(text)
	hostLog(pointer, size)
	runtime.KeepAlive(text)
}
