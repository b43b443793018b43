//go:build wasip1

package pluginsdk

import (
	"runtime"
	"time"
)

// The store is shared by all instances of the plug-in. A call reads its own changes at once; other calls read them after its handler
// has returned. The changes of a call that fails are lost. Concurrent calls in several instances that change the same key are not
// isolated from each other: the handler that returns last wins.

// Get returns a copy of the value of a key in the plug-in's store; false: there is none, or it has expired.
func Get(key string) ([]byte, bool) { return readNamed(key, hostStoreGet) }

// Set sets the value of a key in the plug-in's store. The entry expires after ttl, which is truncated to whole milliseconds; with less
// than one millisecond it never expires. A key has 1 to 128 bytes, and a value at most 4,096. The quota is 64 KB, of which each entry
// takes 32 bytes in addition to its key and value; the store may have one entry for each 64 bytes of the quota.
//
// The error is ErrLarge. If other calls fill the store before the handler returns, all of the handler's changes to the store are lost,
// which the relay counts as a refused request.
func Set(key string, value []byte, ttl time.Duration) error {
	keyPointer, keySize := pointerTo(key)
	valuePointer, valueSize := pointerToBytes(value)
	err := refusalError(hostStoreSet(keyPointer, keySize, valuePointer, valueSize, ttl.Milliseconds()))
	runtime.KeepAlive(key)
	runtime.KeepAlive(value)
	return err
}

// Delete deletes a key from the plug-in's store, if it exists.
func Delete(key string) {
	pointer, size := pointerTo(key)
	hostStoreDelete(pointer, size)
	runtime.KeepAlive(key)
}
