//go:build wasip1

package pluginsdk

import (
	"runtime"
	"time"
	"unsafe"
)

// buffer is where the relay writes; what is read is copied out of it. It grows to the largest that was read.
var buffer = make([]byte, 4096)

// read has the relay write something and returns a copy; false: there is no such thing.
func read(get func(at unsafe.Pointer, capacity uint32) (size int32)) ([]byte, bool) {
	for {
		size := get(unsafe.Pointer(unsafe.SliceData(buffer)), uint32(len(buffer)))
		if size < 0 {
			return nil, false
		}
		if int(size) <= len(buffer) {
			return append(make([]byte, 0, size), buffer[:size]...), true
		}
		buffer = make([]byte, size)
	}
}

// readNamed has the relay write what a name stands for.
func readNamed(name string,
	get func(name unsafe.Pointer, nameSize uint32, at unsafe.Pointer, capacity uint32) (size int32)) ([]byte, bool) {
	namePointer, nameSize := pointerTo(name)
	value, ok := read(func(at unsafe.Pointer, capacity uint32) int32 { return get(namePointer, nameSize, at, capacity) })
	runtime.KeepAlive(name)
	return value, ok
}

// field is a text of the call; nil: it has none.
func field(number uint32) []byte {
	text, _ := read(func(at unsafe.Pointer, capacity uint32) int32 { return hostGet(number, at, capacity) })
	return text
}

// milliseconds is a number of the call that is a time.
func milliseconds(number uint32) time.Duration {
	return time.Duration(hostNumber(number)) * time.Millisecond
}

// pointerTo is the place and size of a text. Whoever hands them over keeps the text alive until the relay has read it.
func pointerTo(text string) (unsafe.Pointer, uint32) {
	return unsafe.Pointer(unsafe.StringData(text)), uint32(len(text))
}

// pointerToBytes does pointerTo's work for bytes.
func pointerToBytes(b []byte) (unsafe.Pointer, uint32) {
	return unsafe.Pointer(unsafe.SliceData(b)), uint32(len(b))
}
