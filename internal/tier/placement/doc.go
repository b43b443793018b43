// Package placement decides which stores have replicas of which shards, and which replicas are lost.
//
// Initial, Next and Balance derive a placement from the previous one and from the running stores: the same inputs give the same
// placement. Tracker observes the members over time and determines which machines that host replicas are permanently lost, so that
// their replicas must be replaced. Package controller uses both on the configuration shard's leader, and package programclient
// maps keys to shards with Shard.
//
// This package does no I/O and reads no clock: times are passed in. Nothing is safe for concurrent use.
package placement
