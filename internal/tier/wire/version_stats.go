package wire

import "mastusher/internal/tier/rollout"

// VersionStatsReport is what one proxy has observed of the versions of services since its start.
type VersionStatsReport struct {
	Source   string         `json:"source"` // identifies the proxy and its start
	Versions []VersionStats `json:"versions"`
}

// VersionStats is what was observed of one version on one route, during one roll-out or outside of any.
type VersionStats struct {
	Service string        `json:"service"`
	Route   string        `json:"route"`
	Version string        `json:"version"`
	Order   uint64        `json:"order,omitempty"` // the order that rolls the version out; 0: none, or one that has ended
	AgeMs   int64         `json:"ageMs,omitempty"` // time since the proxy first learnt of the order, ms
	Stats   rollout.Stats `json:"tally"`
}
