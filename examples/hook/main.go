//go:build wasip1

// An example of a plug-in: it turns away messages that carry no body, and logs the ends of those given up.
// `make hook` builds it to bin/hook.wasm.
package main

import (
	"bytes"
	"unsafe"
)

//go:wasmimport mastusher reason
func reason(at unsafe.Pointer, n uint32)

//go:wasmimport mastusher log
func log(at unsafe.Pointer, n uint32)

func main() {}

// room is where the relay writes what it has to say; it is used again for each call.
var room []byte

//go:wasmexport alloc
func alloc(n uint32) unsafe.Pointer {
	if cap(room) < int(n) || n == 0 {
		room = make([]byte, n+1)
	}
	room = room[:n]
	return unsafe.Pointer(unsafe.SliceData(room))
}

//go:wasmexport inspect
func inspect(_ unsafe.Pointer, n uint32) uint32 {
	if bytes.HasSuffix(room[:n], []byte(`"body":""}`)) {
		why := []byte("the message is empty")
		reason(unsafe.Pointer(&why[0]), uint32(len(why)))
		return 1
	}
	return 0
}

//go:wasmexport ended
func ended(_ unsafe.Pointer, n uint32) {
	if bytes.HasSuffix(room[:n], []byte(`"end":"given_up"}`)) {
		log(unsafe.Pointer(&room[0]), n)
	}
}
