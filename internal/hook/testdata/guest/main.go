//go:build wasip1

// A plug-in that misbehaves as the message asks it to.
package main

import (
	"bytes"
	"unsafe"
)

func main() {}

var room, hoard []byte

//go:wasmexport alloc
func alloc(n uint32) unsafe.Pointer {
	room = make([]byte, n)
	return unsafe.Pointer(unsafe.SliceData(room))
}

//go:wasmexport inspect
func inspect(_ unsafe.Pointer, n uint32) uint32 {
	switch {
	case bytes.Contains(room, []byte(`"id":"loop"`)):
		for {
		}
	case bytes.Contains(room, []byte(`"id":"trap"`)):
		panic("trap")
	case bytes.Contains(room, []byte(`"id":"hoard"`)):
		for {
			hoard = append(hoard, make([]byte, 1<<20)...)
		}
	case bytes.Contains(room, []byte(`"id":"no"`)):
		return 1
	}
	return 0
}
