//go:build wasip1

package pluginsdk

import "unsafe"

// The relay's functions, ABI 2. Those that return a size return that of the whole even where only a part fits; below 0
// there is no such thing. Those that return a refusal return 0 for success.

//go:wasmimport mastusher_v2 get
func hostGet(field uint32, at unsafe.Pointer, capacity uint32) (size int32)

//go:wasmimport mastusher_v2 number
func hostNumber(which uint32) int64

//go:wasmimport mastusher_v2 get_header
func hostGetHeader(name unsafe.Pointer, nameSize uint32, at unsafe.Pointer, capacity uint32) (size int32)

//go:wasmimport mastusher_v2 out_header
func hostOutHeader(name unsafe.Pointer, nameSize uint32, at unsafe.Pointer, capacity uint32) (size int32)

//go:wasmimport mastusher_v2 set_header
func hostSetHeader(name unsafe.Pointer, nameSize uint32, value unsafe.Pointer, valueSize uint32) (refusal int32)

//go:wasmimport mastusher_v2 remove_header
func hostRemoveHeader(name unsafe.Pointer, nameSize uint32) (refusal int32)

//go:wasmimport mastusher_v2 set_body
func hostSetBody(at unsafe.Pointer, size uint32) (refusal int32)

//go:wasmimport mastusher_v2 reject
func hostReject(status int32, reason unsafe.Pointer, reasonSize uint32) (refusal int32)

//go:wasmimport mastusher_v2 wait
func hostWait(ms int64) (refusal int32)

//go:wasmimport mastusher_v2 refuse
func hostRefuse() (refusal int32)

//go:wasmimport mastusher_v2 log
func hostLog(at unsafe.Pointer, size uint32)

//go:wasmimport mastusher_v2 random
func hostRandom() uint64

//go:wasmimport mastusher_v2 store_get
func hostStoreGet(key unsafe.Pointer, keySize uint32, at unsafe.Pointer, capacity uint32) (size int32)

//go:wasmimport mastusher_v2 store_set
func hostStoreSet(key unsafe.Pointer, keySize uint32, value unsafe.Pointer, valueSize uint32, ms int64) (refusal int32)

//go:wasmimport mastusher_v2 store_delete
func hostStoreDelete(key unsafe.Pointer, keySize uint32)

// Texts of a call, by their numbers in the interface.
const (
	fieldFront = iota
	fieldID
	fieldKey
	fieldClass
	fieldBody
	fieldDestination
	fieldResult
	fieldConfig
	fieldName
)

// Numbers of a call, by their numbers in the interface.
const (
	numberPhase = iota
	numberPartner
	numberTimeLeft // ms
	numberResubmitted
	numberStatus
	numberRetryAfter // ms
	numberResult
	numberNow // Unix ms
)
