package wire

import (
	"crypto/sha256"

	"mastusher/internal/tier/program"
)

// chainDigestBytes is the length of a digest. Chains with the same digest count as the same.
const chainDigestBytes = 16

// MaxCachedChains is the number of cached chains that count in one request.
const MaxCachedChains = 4

// ChainDigest is the truncated SHA-256 of a chain, or of a prefix of one.
type ChainDigest []byte

// DigestOf returns the digest of a chain.
func DigestOf(chain []byte) ChainDigest {
	sum := sha256.Sum256(chain)
	return sum[:chainDigestBytes]
}

// CachedChain identifies a chain that the caller has, with which the chain of a turn may begin.
type CachedChain struct {
	Bytes  int         `json:"bytes"`
	Digest ChainDigest `json:"sum"`
}

// OmitCachedPrefix leaves out of a result the longest prefix of its chain that the caller has.
func OmitCachedPrefix(result program.Result, cached []CachedChain) BeginTurnResponse {
	response := BeginTurnResponse{Result: result}
	omitted := 0
	for i, prefix := range cached[:min(len(cached), MaxCachedChains)] {
		if prefix.Bytes > omitted && prefix.Bytes <= len(result.Chain) && string(DigestOf(result.Chain[:prefix.Bytes])) == string(prefix.Digest) {
			response.CachedIndex, omitted = i+1, prefix.Bytes
		}
	}
	response.Chain = result.Chain[omitted:]
	return response
}
