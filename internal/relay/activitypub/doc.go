// Package activitypub is the front of ActivityPub: it accepts signed activities at an inbox, delivers them to the inboxes of partners, and
// notifies clients of the one end that each activity has.
//
// It is an engine.Front. inbox.go takes requests (signatures: draft-cavage-http-signatures-12, as on the Fediverse), delivery.go makes
// attempts, notices.go answers with Accept or Reject. Its methods may be called from any goroutine; a lock guards the ends that it remembers for
// duplicates.
package activitypub
