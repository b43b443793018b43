// Package store is the storage role of the tier. It runs the replicas of the shards that are placed on one machine, and answers calls
// for the shards that it leads.
//
// A shard is a replica group (package group) whose state machine consists of agent programs (package program) and the index of the
// newest placement that the group follows. Package command starts one Store in a store process; package programclient calls it.
//
// A Store owns the files of its shards' groups, and a marker file for each removed replica. ApplyUpdate receives placements. The Store
// opens the shards placed on it, makes each group that it leads change to the members placed, and stops a replica once a majority
// confirms that the group has replaced it (surplus.go).
//
// All exported methods are safe for concurrent use. Store.mutex guards the state of the Store, shard.mutex the target of one group.
// Neither is held during disk I/O, and they are never held together.
package store
