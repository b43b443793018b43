//go:build wasip1

package pluginsdk

import (
	"runtime"
	"time"
	"unsafe"
)

// buffer is where the relay writes values, which are then copied. It grows to the size of the largest value read.
var buffer = make([]byte, 4096)

// read calls get, which makes the relay write a value into buffer, and returns a copy of the value; false: there is no such value.
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

// readNamed reads the value that belongs to a name, such as that of a header; false: there is none.
func readNamed(name string,
	get func(name unsafe.Pointer, nameSize uint32, at unsafe.Pointer, capacity uint32) (size int32)) ([]byte, bool) {
	namePointer, nameSize := pointerTo(name)
	value, ok := read(func(at unsafe.Pointer, capacity uint32) int32 { return get(namePointer, nameSize, at, capacity) })
	runtime.KeepAlive(name)
	return value, ok
}

// field returns a text field of the call; nil: there is no such field.
func field(number uint32) []byte {
	text, _ := read(func(at unsafe.Pointer, capacity uint32) int32 { return hostGet(number, at, capacity) })
	return text
}

// milliseconds returns a numeric field of the call that is a duration in milliseconds.
func milliseconds(number uint32) time.Duration {
	return time.Duration(hostNumber(number)) * time.Millisecond
}

// pointerTo returns the address and size of a text. The caller must keep the text alive until the relay has read it.
func pointerTo(text string) (unsafe.Pointer, uint32) {
	return unsafe.Pointer(unsafe.StringData(text)), uint32(len(text))
}

// pointerToBytes is pointerTo for a byte slice.
func pointerToBytes(b []byte) (unsafe.Pointer, uint32) {
	return unsafe.Pointer(unsafe.SliceData(b)), uint32(len(b))
}
