// Package decommission is the state machine of decommissioning storage machines: which stores are being drained, which identities
// must never get replicas again, and whether nothing depends on a store any more, so that it may be removed with its disk.
//
// Package controller proposes decommissioning for the operator's API, applies the committed entries to the state machine, and calls
// IsDrained on the leader. The state machine is pure: the same entries give the same state on each replica. It is not safe for
// concurrent use.
package decommission
