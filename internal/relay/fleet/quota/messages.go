package quota

// Request is what a relay reports with each request for its own lease: the quota lease in force there, and its demands. Minimums are encoded
// by toFloat16.
type Request struct {
	LeaseTerm    uint64 `cbor:"1,keyasint,omitempty"` // of the allocator that granted the lease in force
	LeaseNumber  uint64 `cbor:"2,keyasint,omitempty"` // of that lease; 0: none
	Demands      []byte `cbor:"3,keyasint,omitempty"` // see EncodeDemands; nil: unchanged
	LeasedShares []byte `cbor:"4,keyasint,omitempty"` // the lease's shares, where that was asked for
	Minimum      uint16 `cbor:"5,keyasint,omitempty"` // with LeasedShares; where relays serve on alone, always
	Zone         int    `cbor:"6,keyasint,omitempty"`
	NoDemand     bool   `cbor:"7,keyasint,omitempty"` // it needs nothing
	NewestTerm   uint64 `cbor:"8,keyasint,omitempty"` // of the newest allocator that it has heard of: it accepts no grant of an older one any more
}

// Grant is the leader's answer to a Request.
type Grant struct {
	Term         uint64 `cbor:"1,keyasint"`           // the leader's
	LeaseNumber  uint64 `cbor:"2,keyasint,omitempty"` // of the quota lease, which lasts as long as the relay's lease that comes with it; 0: none
	Minimum      uint16 `cbor:"3,keyasint,omitempty"` // of the relay's own in each key, with Shares
	Shares       []byte `cbor:"4,keyasint,omitempty"` // see EncodeKeyShares; nil: those sent with that number before
	HasShares    bool   `cbor:"5,keyasint,omitempty"` // Minimum and Shares count, also where there are none
	ReportLeased bool   `cbor:"6,keyasint,omitempty"` // the relay is to report what it was leased before
}
