package wire

import "mastusher/internal/tier/program"

// BeginTurnRequest asks the leader of a shard to begin a turn.
type BeginTurnRequest struct {
	Shard int               `json:"shard"`
	Turn  program.BeginTurn `json:"turn"`
	// CachedChains identifies chains that the caller has cached, so that the response may omit one that is a prefix of the chain. Only the
	// first MaxCachedChains are considered.
	CachedChains []CachedChain `json:"held,omitempty"`
}

// BeginTurnResponse is the response to a BeginTurnRequest.
type BeginTurnResponse struct {
	program.Result
	// CachedIndex is the 1-based index in the request's CachedChains of the chain that is omitted at the beginning of the result's chain;
	// 0: the chain is complete.
	CachedIndex int `json:"held,omitempty"`
}

// EndTurnRequest asks the leader of a shard to commit a turn.
type EndTurnRequest struct {
	Shard int             `json:"shard"`
	Turn  program.EndTurn `json:"turn"`
}

// ChainRequest requests a turn's complete chain from the leader of a shard.
type ChainRequest struct {
	Shard int    `json:"shard"`
	Turn  string `json:"turn"`
}

// ChainResponse holds the chain if the shard stores the turn.
type ChainResponse struct {
	Found bool   `json:"found"`
	Chain []byte `json:"chain,omitempty"`
}
