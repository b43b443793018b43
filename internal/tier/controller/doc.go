// Package controller runs a member of the configuration shard's replica group. The group's state machine holds the operator's
// configuration, the placement of shards, roll-outs and decommissioning.
//
// Each member answers the operator's API: it redirects to the leader, which proposes what was ordered to the group, and answers
// reads only after a majority has confirmed its leadership. On the leader, loops reconcile the members of all groups with the
// desired state (Reconciler), read the platform's list of endpoints, and analyze roll-outs. Each member publishes the committed
// state that it has applied through Fleet; the leader alone publishes endpoints.
//
// Package command opens and runs a controller in its process. Its own state is the replica group's log and snapshots on Disk.
//
// Run owns the goroutines of the loops, which end with its context and aren't waited for; handlers run in the server's goroutines. Controller.mutex guards the
// state machine, Controller.reconcilerMutex the reconciler; where both are needed, reconcilerMutex must be taken first.
package controller
