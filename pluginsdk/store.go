//go:build wasip1

package pluginsdk

import (
	"runtime"
	"time"
)

// The store is shared by all instances of the plug-in. What a call sets and deletes is seen by that call at once, and by
// others when its handler has returned; of a call that fails nothing is kept. Calls of several instances that change the
// same key at once are not isolated from each other: the last to return wins.

// Get is a copy of the value of a key in the plug-in's store; false: there is none, or its time is over.
func Get(key string) ([]byte, bool) { return readNamed(key, hostStoreGet) }

// Set sets the value of a key in the plug-in's store, for ttl, cut to whole milliseconds; less than one, as 0, is for
// good. A key has 1 to 128 bytes, a value 4,096 at most; the quota is 64 KB, which each entry takes 32 bytes of beside key and
// value, and one entry for each 64 bytes of it.
//
// The error is ErrLarge. Where other calls fill the store before the handler returns nothing that it set is kept, which
// the relay counts as refused.
func Set(key string, value []byte, ttl time.Duration) error {
	keyPointer, keySize := pointerTo(key)
	valuePointer, valueSize := pointerToBytes(value)
	err := refusalError(hostStoreSet(keyPointer, keySize, valuePointer, valueSize, ttl.Milliseconds()))
	runtime.KeepAlive(key)
	runtime.KeepAlive(value)
	return err
}

// Delete removes a key from the plug-in's store, if it is there.
func Delete(key string) {
	pointer, size := pointerTo(key)
	hostStoreDelete(pointer, size)
	runtime.KeepAlive(key)
}
