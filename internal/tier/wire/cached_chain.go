package wire

import (
	"crypto/sha256"

	"mastusher/internal/tier/program"
)

// chainSumBytes is the length of a sum: two chains with the same one are the same.
const chainSumBytes = 16

// ChainDigest stands for the bytes of a chain, or of its beginning.
type ChainDigest []byte

// DigestOf returns the sum of a chain.
func DigestOf(chain []byte) ChainDigest {
	sum := sha256.Sum256(chain)
	return sum[:chainSumBytes]
}

// CachedChain names bytes with which the chain of a turn may begin, and that its asker holds.
type CachedChain struct {
	Bytes  int         `json:"bytes"`
	Digest ChainDigest `json:"sum"`
}

// BeginTurnResponse answers a BeginTurnRequest.
type BeginTurnResponse struct {
	program.Result
	// CachedChains is the place, counted from 1, of that of the call's held chains which is left out at the beginning of the result's; 0:
	// the chain is whole.
	CachedIndex int `json:"held,omitempty"`
}

// MaxCachedChains bounds the held chains that one call may name.
const MaxCachedChains = 4

// OmitCachedPrefix leaves out of a result the longest beginning of its chain that the asker holds.
func OmitCachedPrefix(result program.Result, held []CachedChain) BeginTurnResponse {
	answer := BeginTurnResponse{Result: result}
	left := 0
	for i, h := range held[:min(len(held), MaxCachedChains)] {
		if h.Bytes > left && h.Bytes <= len(result.Chain) && string(DigestOf(result.Chain[:h.Bytes])) == string(h.Digest) {
			answer.CachedIndex, left = i+1, h.Bytes
		}
	}
	answer.Chain = result.Chain[left:]
	return answer
}
