// Package controller runs a member of the configuration shard's replica group. The group's state machine holds the operator's
// configuration, the placement of shards, roll-outs and decommissioning.
//
// Each member serves the operator's API. Followers redirect to the leader. The leader proposes the operator's orders (requests for a
// change) to the group, and responds to reads only after a majority has confirmed its leadership. On the leader, loops reconcile the
// members of all groups with the desired state (Reconciler), read the platform's list of endpoints, and analyze roll-outs. Each
// member publishes the committed state that it has applied through Fleet; only the leader publishes endpoints.
//
// Package command opens and runs a controller in its process. Its durable state is the replica group's log and snapshots on Disk.
//
// Run starts the goroutines of the loops and returns once they have ended; handlers run in the server's goroutines. Controller.mutex
// guards the state machine, Controller.reconcilerMutex the reconciler; where both are needed, reconcilerMutex must be taken first.
package controller
