// Package settings reads the settings file of a process (YAML): its identity and role, where it listens, the limits of what it may use,
// and the service-level bounds. Unknown keys are ignored; each missing or invalid value is an error that names
// its key, and all errors are returned together. The keys are the operators' interface and must not change. A process reads its file
// once, at its start; the values are read-only afterwards.
package settings

import (
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Values of the key serves: what a role serves to callers from outside.
const (
	ServesEdge    = "edge"
	ServesControl = "control"
	ServesStorage = "storage"
)

// discoveryCloudAPI is the value of the key findBy that needs the address of the platform's list of endpoints.
const discoveryCloudAPI = "cloud_api"

// defaultHeartbeat is the heartbeat where the file gives none.
const defaultHeartbeat = time.Second

// minHeartbeat is the shortest heartbeat: a tiny value must not consume the processor.
const minHeartbeat = time.Millisecond

// Settings is one settings file. A field marked as informative is read and validated, and nothing in the programs depends on it.
type Settings struct {
	NodeName        string // of the machine
	Role            string
	MachineClass    string   // informative
	Serves          []string // of ServesEdge, ServesControl, ServesStorage; decides which addresses of ListenOn are required
	IP              string
	Zone            string
	Region          string            // informative; default: that of Zone in Zones
	Zones           map[string]string // region of each zone
	ListenOn        ListenOn
	PortRange       PortRange
	SeedNodes       []string // IP:port of processes to join by
	Bootstrap       bool     // the whole system starts for the first time, with empty disks
	CountsForQuorum bool     // informative
	Limits          Limits
	DataDir         string   // empty: the machine has no disk
	Discovery       string   // how endpoints are found (key findBy); decides whether CloudAPI.Address is required
	IngressKind     string   // informative (key entryKind)
	HeartbeatMs     float64  // informative: heartbeats have intervals of their own; 0: the default; see Heartbeat
	EnabledRules    []string // informative: the operators' rules in force (key ruleParts)
	FaultTolerance  FaultTolerance
	Bounds          Bounds
	CloudAPI        CloudAPI
}

// ListenOn holds the addresses of what the role serves, each as IP:port; empty: not served.
type ListenOn struct {
	FrontHTTP string // for clients; required where the role serves ServesEdge
	Readiness string // for probes of readiness; required likewise
	Control   string // the operators' API; required where the role serves ServesControl
}

// PortRange is the range of ports for calls between processes, both ends included.
type PortRange struct {
	First int
	Last  int
}

// Limits are the limits of what the process may use; 0: none given.
type Limits struct {
	CPUShare    float64 // informative
	CPUCores    float64 // informative
	MemoryMb    int64   // MiB; sizes the collector's limit, the cache of chains (0: no cache) and the queues of stores; as DiskMb
	OpenFiles   int64   // descriptors; bounds the connections of clients
	NetworkMbps float64 // informative
	DiskMb      int64   // MiB; near it a store begins no new programs
}

// FaultTolerance is how many machines, zones and regions the system may lose at once and still keep all its rules.
type FaultTolerance struct {
	Machines int // a group has twice as many replicas and one: more bear more losses, and cost disks, messages and time for a commit
	Zones    int // bounds the replicas of a shard in one zone; 0: as 1. More bear the loss of more zones, and need as many more of them
	Regions  int // bounds the replicas of a shard in one region; 0: not at all
}

// CloudAPI is the access to the platform's list of endpoints.
type CloudAPI struct {
	Address  string
	RatePerS float64  // rate limit of all processes together, calls a second
	Jobs     []string // informative
	DelayMs  float64  // informative: staleness of the list
}

// Load reads and validates the settings file at path. The error names the file and holds all field errors; see
// validation.FieldErrors.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "settings file %s", path)
	}
	parsed, err := Parse(raw)
	if err != nil {
		return nil, trace.Wrap(err, "settings file %s", path)
	}
	return parsed, nil
}

// Port returns the port at an offset into PortRange (wire.PortOffset), or 0 if the range has no such port.
func (s *Settings) Port(offset int) int {
	if offset < 0 || offset >= s.PortRange.Len() {
		return 0
	}
	return s.PortRange.First + offset
}

// Len returns the number of ports in the range.
func (r PortRange) Len() int {
	return r.Last - r.First + 1
}

// DoesServe reports whether the role serves this to callers from outside.
func (s *Settings) DoesServe(what string) bool {
	return slices.Contains(s.Serves, what)
}

// HasRule reports whether a rule is in force.
func (s *Settings) HasRule(name string) bool {
	return slices.Contains(s.EnabledRules, name)
}

// HasDisk reports whether the machine has a data directory.
func (s *Settings) HasDisk() bool {
	return s.DataDir != ""
}

// Heartbeat returns the interval of heartbeats: HeartbeatMs, at least minHeartbeat, or the default.
func (s *Settings) Heartbeat() time.Duration {
	if s.HeartbeatMs <= 0 {
		return defaultHeartbeat
	}
	return max(scaled(s.HeartbeatMs, time.Millisecond), minHeartbeat)
}

// Delay returns how stale the platform's list may be.
func (c CloudAPI) Delay() time.Duration {
	return scaled(c.DelayMs, time.Millisecond)
}
