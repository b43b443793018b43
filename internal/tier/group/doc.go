// Package group runs one member of a replica group: it drives the member's state machine of package replica over a disk and
// links, and applies committed commands to the StateMachine that the group replicates.
//
// The controller runs one member, a store one for each shard that it holds a replica of. One goroutine owns a member: the
// one that calls Run, or RunOnce where a test drives it in virtual time. The StateMachine is called by that goroutine only.
// All other exported methods of Group may be called by any goroutine and never block on the disk or a link.
//
// An iteration takes all input that has come in, hands it to replica.Replica.Step and carries out the Ready that it returns:
// first the messages that need no sync, then the sync, then everything that depends on it. That order must never change:
// what a member has acknowledged must be on its disk.
//
// After a failure of the disk nothing that memory holds counts, since a failed write or sync leaves open what is on disk. The
// member forgets it, recovers from the disk and goes on as a follower.
package group
