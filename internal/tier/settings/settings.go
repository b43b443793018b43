// Package settings reads the settings file of a process: who it is, where it listens, what it may use and the bounds
// that hold for it. Keys that it doesn't know are ignored; every missing or impossible value is named by its key.
package settings

import (
	"os"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Names of what a role may serve to callers from outside.
const (
	ServesEdge    = "edge"
	ServesControl = "control"
	ServesStorage = "storage"
)

// findByCloudAPI is the way of finding endpoints that needs the address of the platform's list.
const findByCloudAPI = "cloud_api"

// defaultHeartbeat holds where the file gives no heartbeat.
const defaultHeartbeat = time.Second

// minHeartbeat keeps a tiny figure from filling the process's time.
const minHeartbeat = time.Millisecond

// Settings is one whole settings file.
type Settings struct {
	NodeName        string
	Role            string
	MachineClass    string
	Serves          []string
	IP              string
	Zone            string
	Region          string
	Zones           map[string]string // region of each zone
	ListenOn        ListenOn
	PortRange       PortRange
	SeedNodes       []string
	Bootstrap       bool // the whole system starts for the first time, with empty disks
	CountsForQuorum bool
	Limits          Limits
	DataDir         string // empty: the machine has no disk
	Discovery       string
	EntryKind       string
	HeartbeatMs     float64
	RuleParts       []string
	FaultTolerance  FaultTolerance
	Bounds          Bounds
	CloudAPI        CloudAPI
}

// ListenOn holds the addresses of what the role serves, each as host:port; an empty one isn't served.
type ListenOn struct {
	FrontHTTP string
	Readiness string
	Control   string
}

// PortRange is the first and the last of the ports that are free for what the processes say to each other.
type PortRange struct {
	First int
	Last  int
}

// Limits bounds what the process may use; 0 stands for a limit that the file doesn't give.
type Limits struct {
	CPUShare    float64
	CPUCores    float64
	MemoryMb    int64
	OpenFiles   int64
	NetworkMbps float64
	DiskMb      int64
}

// FaultTolerance says what the system may lose at once and still keep all its rules.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// CloudAPI says how to reach the platform's list of endpoints.
type CloudAPI struct {
	Address  string
	RatePerS float64 // calls a second that all processes may make together
	Jobs     []string
	DelayMs  float64 // by how much the list runs behind
}

// Load reads and checks the settings file at path.
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

// Port is the port at an offset into the free range, or 0 if the range has no such port.
func (s *Settings) Port(offset int) int {
	if offset < 0 || offset >= s.PortRange.Len() {
		return 0
	}
	return s.PortRange.First + offset
}

// Len is the number of ports in the range.
func (r PortRange) Len() int {
	return r.Last - r.First + 1
}

// DoesServe tells whether callers from outside may call the role for this.
func (s *Settings) DoesServe(what string) bool {
	return slices.Contains(s.Serves, what)
}

// HasRulePart tells whether a part of the rules is in force.
func (s *Settings) HasRulePart(name string) bool {
	return slices.Contains(s.RuleParts, name)
}

// HasDisk tells whether the machine has a folder for data.
func (s *Settings) HasDisk() bool {
	return s.DataDir != ""
}

// Heartbeat is the time between two signs of life.
func (s *Settings) Heartbeat() time.Duration {
	if s.HeartbeatMs <= 0 {
		return defaultHeartbeat
	}
	return max(scaled(s.HeartbeatMs, time.Millisecond), minHeartbeat)
}

// Delay is the time by which the platform's list runs behind.
func (c CloudAPI) Delay() time.Duration {
	return scaled(c.DelayMs, time.Millisecond)
}
