package wire

import "mastusher/internal/tier/rollout"

// VersionStatsReport holds what a proxy has observed of the versions of services since its start.
type VersionStatsReport struct {
	Source   string         `json:"source"` // identifies the proxy and its start
	Versions []VersionStats `json:"versions"`
}

// VersionStats holds what was observed of a version on a route, either during one roll-out or outside of any.
type VersionStats struct {
	Service string        `json:"service"`
	Route   string        `json:"route"`
	Version string        `json:"version"`
	Order   uint64        `json:"order,omitempty"` // the order that started the roll-out of this version; 0: none, or it has ended
	AgeMs   int64         `json:"ageMs,omitempty"` // time since the proxy first learned of the order, ms
	Stats   rollout.Stats `json:"tally"`

	// History holds the answers of a roll-out in the order in which they came; empty outside of roll-outs.
	History []rollout.Interval `json:"history,omitempty"`
}
