// Package programclient is the client with which proxies begin and commit turns of agent programs, at the leader of the shard
// that a program belongs to.
//
// A Client finds a shard's leader by trying the shard's replicas; those that don't lead hint at the one that does (leader.go).
// Where a turn continues a chain of another shard, the Client transfers that chain. It caches the chains of recent turns, so
// that a store needs to send only the part that isn't cached (prefix_cache.go).
//
// Stores execute Begin and End idempotently (see package program), so the Client retries an attempt that got no response without
// finding out whether it was executed. Package proxy calls the Client; the placement comes from the disseminated view.
package programclient
