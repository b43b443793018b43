package configuration

import (
	"crypto/sha256"
	"encoding/json"
	"strconv"
)

// Proposal asks to replace the configuration. It is stored in the replicated log.
type Proposal struct {
	Base   uint64          `json:"base"`   // number of the version that it builds on; 0: the first one
	Number uint64          `json:"number"` // its own version number; must be higher than Base
	Raw    json.RawMessage `json:"raw"`    // the operator's document, compacted
}

// Result is the outcome of a proposal.
type Result string

// The results of Apply.
const (
	Accepted Result = "taken"     // exactly this proposal was accepted, now or earlier
	Conflict Result = "conflict"  // Base is not the current version
	NotNewer Result = "not_newer" // Number is not higher than the current one
	// HistoryTruncated says that Base is older than the history reaches: whether the proposal was accepted is unknown.
	HistoryTruncated Result = "forgotten"
)

// fingerprint identifies a proposal by its document and its base version. It is stored in snapshots.
type fingerprint [16]byte

func fingerprintOf(proposal *Proposal) fingerprint {
	hash := sha256.New()
	hash.Write([]byte(strconv.FormatUint(proposal.Base, 10)))
	hash.Write([]byte{'\n'})
	hash.Write(proposal.Raw)
	var short fingerprint
	copy(short[:], hash.Sum(nil))
	return short
}
