// Package settings reads the settings file of a process (YAML): its identity and role, the addresses where it listens, its resource limits,
// and the service-level bounds. Unknown keys are ignored. Each missing or invalid value is an error that names its key, and all errors are
// returned together. The keys are the operators' interface and must not change. A process loads its settings at the start, and again on
// SIGHUP or when the file has changed; a loaded value is read-only.
package settings

import (
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Values of the key serves: what a role serves to callers outside the tier.
const (
	ServesEdge    = "edge"
	ServesControl = "control"
	ServesStorage = "storage"
)

// discoveryCloudAPI is a value of the key findBy: endpoints are discovered by the platform's API, whose address is then required.
const discoveryCloudAPI = "cloud_api"

// defaultHeartbeat is the heartbeat interval if the file gives none.
const defaultHeartbeat = time.Second

// minHeartbeat is the minimum heartbeat interval. A shorter one would use too much CPU time.
const minHeartbeat = time.Millisecond

// Settings is the content of a settings file. Fields marked as informative are validated, but do not affect the programs.
type Settings struct {
	NodeName        string // name of the machine
	Role            string
	MachineClass    string   // informative
	Serves          []string // values from ServesEdge, ServesControl, ServesStorage; they decide which addresses of ListenOn are required
	IP              string
	Zone            string
	Region          string            // informative; default: the region of Zone in Zones
	Zones           map[string]string // region of each zone
	ListenOn        ListenOn
	PortRange       PortRange
	SeedNodes       []string // IP:port of controllers through which the process joins
	Bootstrap       bool     // the whole system starts for the first time, with empty disks
	CountsForQuorum bool     // informative
	Limits          Limits
	DataDir         string   // empty: the machine has no disk
	Discovery       string   // how endpoints are found (key findBy); decides whether CloudAPI.Address is required
	IngressKind     string   // informative (key entryKind)
	HeartbeatMs     float64  // informative: heartbeats use their own intervals; 0: the default; see Heartbeat
	EnabledRules    []string // informative: the operators' rules in force (key ruleParts)
	FaultTolerance  FaultTolerance
	Bounds          Bounds
	CloudAPI        CloudAPI
}

// ListenOn holds the addresses of what the role serves, as IP:port; empty: not served.
type ListenOn struct {
	FrontHTTP string // for clients; required where the role serves ServesEdge
	Readiness string // for readiness probes; required where the role serves ServesEdge
	Control   string // the operators' API; required where the role serves ServesControl
}

// PortRange is the range of ports for calls between processes, including both ends.
type PortRange struct {
	First int
	Last  int
}

// Limits holds the resource limits of the process; 0: no limit given.
type Limits struct {
	CPUShare    float64 // informative
	CPUCores    float64 // informative
	MemoryMb    int64   // MiB; sets the limits of the collector, the cache of chains (0: no cache) and the queues of stores
	OpenFiles   int64   // file descriptors; limits the connections of clients
	NetworkMbps float64 // informative
	DiskMb      int64   // MiB; a store close to this limit or to MemoryMb rejects new programs
}

// FaultTolerance is how many machines, zones and regions the system may lose at once without violating its rules.
type FaultTolerance struct {
	Machines int // a group has 2*Machines+1 replicas: more tolerate more losses, but cost disks, messages and commit latency
	Zones    int // limits the replicas of a shard per zone; 0: as 1; a larger value tolerates the loss of more zones, but needs more
	Regions  int // limits the replicas of a shard per region; 0: no limit
}

// CloudAPI holds the access to the platform's list of endpoints.
type CloudAPI struct {
	Address  string
	RatePerS float64  // rate limit of all processes together, in calls per second
	Jobs     []string // informative
	DelayMs  float64  // informative: staleness of the list
}

// Load reads and validates the settings file at path. Its error names the file and holds all field errors; see
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

// Port returns the port at an offset into PortRange (wire.PortOffset), or 0 if it is outside the range.
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

// DoesServe reports whether the role serves a value of the key serves to callers outside the tier.
func (s *Settings) DoesServe(what string) bool {
	return slices.Contains(s.Serves, what)
}

// HasRule reports whether a rule of the operators is in force.
func (s *Settings) HasRule(name string) bool {
	return slices.Contains(s.EnabledRules, name)
}

// HasDisk reports whether the machine has a data directory.
func (s *Settings) HasDisk() bool {
	return s.DataDir != ""
}

// Heartbeat returns the heartbeat interval: HeartbeatMs, but at least minHeartbeat, or the default if it is 0.
func (s *Settings) Heartbeat() time.Duration {
	if s.HeartbeatMs <= 0 {
		return defaultHeartbeat
	}
	return max(scaled(s.HeartbeatMs, time.Millisecond), minHeartbeat)
}

// Delay returns the staleness of the platform's list.
func (c CloudAPI) Delay() time.Duration {
	return scaled(c.DelayMs, time.Millisecond)
}
