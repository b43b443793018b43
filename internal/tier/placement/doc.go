// Package placement decides which stores have a replica of which shard, and which replicas are lost.
//
// Initial and Next derive a placement from the one before and from the stores that run: the same inputs give the same placement.
// Tracker observes the members over time and tells which machines that host replicas are lost for good, whose replicas must be
// replaced. Package controller calls both on the configuration shard's leader, and programclient maps keys to shards by Shard.
//
// The package is pure: times are passed in. Nothing is safe for concurrent use.
package placement
