// Package programclient is the proxies' way to the stores: it begins and commits turns of agent programs at the leader of the
// shard that a program belongs to.
//
// A Client finds a shard's leader by trying its replicas, guided by the hints of those that don't lead (leader.go), and
// transfers a chain of another shard where a turn continues one. It caches the chains of recent turns, so that a store needs
// to send only what the cache lacks (prefix_cache.go).
//
// Begin and End are idempotent at the stores (package program), so a call is retried without asking whether an attempt that
// got no response was executed. Package proxy calls the Client; the placement comes from the view that is disseminated.
package programclient
