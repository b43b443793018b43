package wire

import (
	"crypto/sha256"

	"mastusher/internal/tier/program"
)

// chainSumBytes is the length of a sum: two chains with the same one are the same.
const chainSumBytes = 16

// ChainSum stands for the bytes of a chain, or of its beginning.
type ChainSum []byte

// SumOf returns the sum of a chain.
func SumOf(chain []byte) ChainSum {
	sum := sha256.Sum256(chain)
	return sum[:chainSumBytes]
}

// HeldChain names bytes with which the chain of a turn may begin, and that its asker holds.
type HeldChain struct {
	Bytes int      `json:"bytes"`
	Sum   ChainSum `json:"sum"`
}

// BegunTurn answers a BeginTurn.
type BegunTurn struct {
	program.Result
	// Held is the place, counted from 1, of that of the call's held chains which is left out at the beginning of the result's; 0:
	// the chain is whole.
	Held int `json:"held,omitempty"`
}

// MostHeld bounds the held chains that one call may name.
const MostHeld = 4

// WithoutHeld leaves out of a result the longest beginning of its chain that the asker holds.
func WithoutHeld(result program.Result, held []HeldChain) BegunTurn {
	answer := BegunTurn{Result: result}
	left := 0
	for i, h := range held[:min(len(held), MostHeld)] {
		if h.Bytes > left && h.Bytes <= len(result.Chain) && string(SumOf(result.Chain[:h.Bytes])) == string(h.Sum) {
			answer.Held, left = i+1, h.Bytes
		}
	}
	answer.Chain = result.Chain[left:]
	return answer
}
