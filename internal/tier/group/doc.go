// Package group runs one member of a replica group. It connects the consensus protocol of package replica to a disk and to the
// network, and applies committed commands to the StateMachine that the group replicates.
//
// The controller runs one member; a store runs one for each shard of which it holds a replica. A member is owned by one goroutine:
// the one that calls Run, or RunOnce where a test drives it in virtual time. Only that goroutine calls the StateMachine.
// All other exported methods of Group may be called by any goroutine and never block on the disk or the network.
//
// An iteration passes all queued input to replica.Replica.Step and processes the Ready that Step returns: first the messages that
// need no sync, then the sync, then everything that depends on the sync. This order must not change: a member must not
// acknowledge anything that isn't durable.
//
// A failed write or sync leaves the content of the disk unknown, so the state in memory can't be trusted either. The member discards
// it, recovers from the disk and continues as a follower.
package group
