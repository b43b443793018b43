package quota

// Request is sent by a relay with each request for its relay lease. It reports the quota lease in force there and the relay's demands.
// Minimum is encoded by toFloat16.
type Request struct {
	LeaseTerm    uint64 `cbor:"1,keyasint,omitempty"` // term of the allocator that granted the quota lease in force
	LeaseNumber  uint64 `cbor:"2,keyasint,omitempty"` // number of that lease; 0: none
	Demands      []byte `cbor:"3,keyasint,omitempty"` // see EncodeDemands; nil: unchanged
	LeasedShares []byte `cbor:"4,keyasint,omitempty"` // shares of the quota lease in force, if Grant.ReportLeased requested them
	Minimum      uint16 `cbor:"5,keyasint,omitempty"` // guaranteed minimum, with LeasedShares; with ServeWhenPartitioned always
	Zone         int    `cbor:"6,keyasint,omitempty"`
	NoDemand     bool   `cbor:"7,keyasint,omitempty"` // the relay has no demands
	NewestTerm   uint64 `cbor:"8,keyasint,omitempty"` // newest term of an allocator that the relay knows: it rejects grants of older terms
}

// Grant is the leader's answer to a Request.
type Grant struct {
	Term         uint64 `cbor:"1,keyasint"`           // the leader's
	LeaseNumber  uint64 `cbor:"2,keyasint,omitempty"` // of the quota lease, which is valid for as long as the relay lease sent with it; 0: none
	Minimum      uint16 `cbor:"3,keyasint,omitempty"` // guaranteed minimum of each key, encoded by toFloat16, with Shares
	Shares       []byte `cbor:"4,keyasint,omitempty"` // see EncodeKeyShares; nil: as sent before under the same number
	HasShares    bool   `cbor:"5,keyasint,omitempty"` // Minimum and Shares are set, even if Shares is empty
	ReportLeased bool   `cbor:"6,keyasint,omitempty"` // the relay must report its lease from a former term
}
