// Package activitypub is the second front: it accepts signed activities at an inbox, delivers them to the
// inboxes of partners, and tells those who handed them in of the one end that each has had.
//
// It is an engine.Front. inbox.go takes requests (signatures: draft-cavage-http-signatures-12, as on the Fediverse), delivery.go makes
// attempts, notices.go answers with Accept or Reject. Its methods may be called from any goroutine; the map of answers to activities that
// come again has a lock.
package activitypub
