package gossip

import "mastusher/internal/tier/view"

// Message is one datagram: an announcement of some sections, or a complete digest.
type Message struct {
	Digest   view.Digest `json:"d"`
	Complete bool        `json:"w,omitempty"` // the sender has no update of the sections that Digest does not contain
}

// Datagram is a message with the address (host:port) of its receiver or sender.
type Datagram struct {
	Address string
	Message Message
}
