// Package activitypub is the relay's front for ActivityPub: it accepts signed activities at an inbox, delivers them to the inboxes of
// partners, and notifies clients how each activity ended, once per activity.
//
// Front implements engine.Front. inbox.go handles requests (signatures: draft-cavage-http-signatures-12, as on the Fediverse), delivery.go
// makes attempts, notices.go answers with Accept or Reject. Its methods may be called from any goroutine; a lock guards the outcomes that
// are kept to recognize duplicates.
package activitypub
