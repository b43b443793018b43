// Package decommission is the state machine of decommissioning storage machines: which stores are being drained, which identities
// must never get replicas again, and whether nothing depends on a store any more, so that it may be removed with its disk. The
// operator's API calls it to retire a machine.
//
// Package controller applies committed entries to the state machine, and asks IsDrained on the leader. It is pure: the same
// entries give the same state on each replica. It is not safe for concurrent use.
package decommission
