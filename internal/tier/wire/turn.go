package wire

import "mastusher/internal/tier/program"

// BeginTurnRequest asks the leader of a shard to begin a turn.
type BeginTurnRequest struct {
	Shard int               `json:"shard"`
	Turn  program.BeginTurn `json:"turn"`
	// CachedChains are chains that the caller has, so that the response may leave out a prefix that equals one; at most
	// MaxCachedChains count.
	CachedChains []CachedChain `json:"held,omitempty"`
}

// BeginTurnResponse answers a BeginTurnRequest.
type BeginTurnResponse struct {
	program.Result
	// CachedIndex is the position, counted from 1, in the request's CachedChains of the one that is left out at the beginning of
	// the result's chain; 0: the chain is complete.
	CachedIndex int `json:"held,omitempty"`
}

// EndTurnRequest asks the leader of a shard to commit a turn.
type EndTurnRequest struct {
	Shard int             `json:"shard"`
	Turn  program.EndTurn `json:"turn"`
}

// ChainRequest asks the leader of a shard for a turn's complete chain.
type ChainRequest struct {
	Shard int    `json:"shard"`
	Turn  string `json:"turn"`
}

// ChainResponse holds a chain, if the shard stores the turn.
type ChainResponse struct {
	Found bool   `json:"found"`
	Chain []byte `json:"chain,omitempty"`
}
