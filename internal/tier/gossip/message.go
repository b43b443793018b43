package gossip

import "mastusher/internal/tier/view"

// Message is one datagram: an announcement of some sections, or a complete digest.
type Message struct {
	Digest   view.Digest `json:"d"`
	Complete bool        `json:"w,omitempty"` // the sender has nothing of the sections that are not named
}

// Datagram is a message with the address (host:port) that it goes to or came from.
type Datagram struct {
	Address string
	Message Message
}
