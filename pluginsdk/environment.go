//go:build wasip1

package pluginsdk

import (
	"runtime"
	"time"
)

// Config returns the JSON that the relay's configuration has for this plug-in; "": none.
func Config() string { return string(field(fieldConfig)) }

// Name returns the plug-in's name in the relay's configuration.
func Name() string { return string(field(fieldName)) }

// Now returns the relay's time, in whole milliseconds. It does not change during a call.
func Now() time.Time { return time.UnixMilli(hostNumber(numberNow)) }

// Random returns a random number. The sequence of numbers in a call depends only on the relay's seed, the plug-in, the phase and the
// message, so that a repeated call gets the same numbers.
func Random() uint64 { return hostRandom() }

// Log writes a line to the relay's log when the call has ended, also if the call fails. The line is truncated to 256 bytes and escaped
// if it has anything but printable ASCII. A plug-in may log 10 lines per call and 10 per second; further lines are dropped.
func Log(text string) {
	pointer, size := pointerTo(text)
	hostLog(pointer, size)
	runtime.KeepAlive(text)
}
