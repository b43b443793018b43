package command

import (
	"hash/fnv"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/subcommands"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// settingsVariable names the environment variable that holds the path of the settings file.
const settingsVariable = "MASTUSHER_NODE_FILE"

// The garbage collector runs when the heap has grown by gcPercent, and more often when memory comes close to memoryLimitShare of the limit.
const (
	memoryLimitShare = 0.75
	gcPercent        = 25
)

// process holds what all roles need.
type process struct {
	settings   *settings.Settings
	logger     log.Logger
	pool       *transport.Pool
	seed       uint64
	env        Environment
	invariants *invariant.Counter
	metrics    *metrics.Metrics
	memory     *memorybudget.Budget // of callers; nil: the settings have no limit
	diskSeeds  []string             // addresses of other machines that this machine's disk held at the start
}

// newProcess loads the settings from the system's environment, and sets the runtime's limits.
func newProcess(role string) (*process, error) {
	p, err := newProcessWith(systemEnvironment(), role)
	if err != nil {
		return nil, err
	}
	if limits := p.settings.Limits; limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limits.MemoryMb<<20)))
	}
	debug.SetGCPercent(gcPercent)
	return p, nil
}

// newProcessWith loads the settings from an environment. It doesn't set the runtime's limits.
func newProcessWith(env Environment, role string) (*process, error) {
	loaded, err := settings.Load(env.SettingsPath)
	if err != nil {
		return nil, err
	}
	logger := log.With(env.Logger, "role", role, "node", loaded.NodeName)
	p := &process{settings: loaded, logger: logger, pool: transport.NewPoolOn(env.Network), seed: seedOf(loaded.NodeName, role), env: env,
		invariants: invariant.New(logger), metrics: metrics.New(), memory: callerBudget(role, loaded.Limits.MemoryMb<<20)}
	p.pool.SetMeter(p.metrics)
	p.pool.SetMemory(p.memory)
	p.metrics.SetMemory(p.memory)
	return p, nil
}

// callerBudget returns the memory budget of a role with a memory limit in bytes; nil if there is no limit.
func callerBudget(role string, memoryLimit int64) *memorybudget.Budget {
	if role == storeRole {
		return memorybudget.ForStore(memoryLimit)
	}
	return memorybudget.ForServer(memoryLimit)
}

// seedOf returns a seed that differs between processes and between starts.
func seedOf(node, role string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(node + "/" + role))
	return hash.Sum64() ^ uint64(time.Now().UnixNano())
}

// address returns the address at which the process listens for other processes of the tier.
func (p *process) address(offset wire.PortOffset) string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.port(offset)))
}

// port returns the port at an offset into the port range of the settings.
func (p *process) port(offset wire.PortOffset) int { return p.settings.PortRange.First + offset }

// seeds returns the addresses of the controllers that the settings name, for calls from other processes.
func (p *process) seeds() []string { return p.seedsOf(p.settings) }

// seedsOf returns the seeds of reloaded settings. All machines use the same ports, which a reload doesn't change.
func (p *process) seedsOf(loaded *settings.Settings) []string {
	var seeds []string
	for _, control := range loaded.SeedNodes {
		host, _, err := net.SplitHostPort(control)
		if err != nil {
			continue
		}
		seeds = append(seeds, net.JoinHostPort(host, strconv.Itoa(p.port(wire.ControllerPort))))
	}
	return seeds
}

// logFailure logs the error that ends the process.
func logFailure(logger log.Logger, err error) subcommands.ExitStatus {
	level.Error(logger).Log("msg", "process ends", "err", err)
	return subcommands.ExitFailure
}

// fallbackLogger returns the logger to use until the settings are loaded.
func fallbackLogger(role string) log.Logger {
	return log.With(log.NewLogfmtLogger(os.Stderr), "role", role)
}

// shareOf returns a share of a duration, rounded to the nanosecond.
func shareOf(d time.Duration, share float64) time.Duration {
	return time.Duration(math.Round(float64(d) * share))
}
