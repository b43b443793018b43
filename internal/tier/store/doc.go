// Package store is the storage role of the tier: it runs the replicas of the shards that the placement gives to one machine,
// and answers calls for the shards that it leads.
//
// A shard is a replica group (package group) whose state machine consists of agent programs (package program) and the index of
// the newest placement that the group follows. Package command starts one Store in a store's process; package programclient
// calls it.
//
// A Store owns the files of its shards' groups, and a marker for each replica that was removed. Placements reach it by
// ApplyUpdate. It opens the shards placed here, has each group that it leads change to the members placed, and stops a replica
// once a majority confirms that the group has replaced it (surplus.go).
//
// All exported methods are safe for concurrent use. Store.mutex guards what the Store knows, shard.mutex what one group was
// last asked for; neither is held during disk I/O, nor both at once.
package store
