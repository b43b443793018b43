package wire

import (
	"crypto/sha256"

	"mastusher/internal/tier/program"
)

// chainDigestBytes is the length of a digest. Chains with equal digests are taken as equal.
const chainDigestBytes = 16

// MaxCachedChains is the maximum number of cached chains that are considered in a request.
const MaxCachedChains = 4

// ChainDigest is the truncated SHA-256 of a chain, or of a prefix of one.
type ChainDigest []byte

// DigestOf returns the digest of a chain.
func DigestOf(chain []byte) ChainDigest {
	sum := sha256.Sum256(chain)
	return sum[:chainDigestBytes]
}

// CachedChain identifies a chain that the caller has cached, and which may be a prefix of a turn's chain.
type CachedChain struct {
	Bytes  int         `json:"bytes"`
	Digest ChainDigest `json:"sum"`
}

// OmitCachedPrefix returns the response for a result, without the longest prefix of its chain that the caller has cached.
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
