//go:build wasip1

package pluginsdk

import "unsafe"

// The relay's host functions of ABI 2. A returned size is that of the whole value, even if only a part of it fits into the buffer, or
// negative if there is no such value. A returned refusal is 0 for success.

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

// Numbers of the text fields of a call, as the ABI defines them.
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

// Numbers of the numeric fields of a call, as the ABI defines them.
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
