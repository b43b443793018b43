// Package engine is the relay's core. It owns the decision module (package control), the accepted messages, their attempts and the
// outstanding notices, and it is the only part that changes them. It does not depend on any wire protocol.
//
// Fronts (package platform, package activitypub) implement the wire protocols. They submit messages to the core through its event queue
// and make its calls. One goroutine, that of Run, processes the queued events in turns of Limits.Round: it applies each event, lets the
// module decide, writes the journal, and only then answers clients and starts attempts. So whatever a client or a destination has been
// sent is in the journal, even if the process is killed right afterwards.
//
// A turn is deterministic: it reads no clock, and the iteration order of maps does not affect it. A Shell makes its calls and a Journal
// keeps its records; both can be replaced. CoreReplay replaces them with a capture (package capture), and compares everything that the
// core does with the recording.
//
// In a fleet of relays, SetMandate sets what the fleet permits this relay to do (a Mandate), and GrantQuota its share of the common limits.
package engine
