// Package command holds the sub-commands of the serving tier: one for each role.
package command

import (
	"context"
	"hash/fnv"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/subcommands"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/node"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// settingsVariable names the environment variable that holds the path of the settings file.
const settingsVariable = "MASTUSHER_NODE_FILE"

// EndMessage is what a process logs last when it has been told to end, with the time since then under the key "after".
const EndMessage = "process has ended"

// Use of memory: the collector keeps the heap below this part of the limit, and runs when it has grown by so much.
const (
	memoryShare   = 0.75
	growthPercent = 25
)

// process is what all roles have in common.
type process struct {
	settings *settings.Settings
	logger   log.Logger
	pool     *transport.Pool
	seed     uint64
	around   Surroundings
	checks   *invariant.Counter
	metrics  *metrics.Metrics
}

// newProcess reads the settings and sets the limits of the runtime.
func newProcess(role string) (*process, error) {
	p, err := newProcessIn(systemSurroundings(), role)
	if err != nil {
		return nil, err
	}
	if limits := p.settings.Limits; limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limits.MemoryMb<<20)))
	}
	debug.SetGCPercent(growthPercent)
	return p, nil
}

// newProcessIn reads the settings.
func newProcessIn(around Surroundings, role string) (*process, error) {
	loaded, err := settings.Load(around.SettingsPath)
	if err != nil {
		return nil, err
	}
	logger := log.With(around.Logger, "role", role, "node", loaded.NodeName)
	p := &process{settings: loaded, logger: logger, pool: transport.NewPoolOn(around.Network), seed: seedOf(loaded.NodeName, role), around: around,
		checks: invariant.New(logger), metrics: metrics.New()}
	p.pool.Measure(p.metrics)
	return p, nil
}

// seedOf returns a seed that differs from process to process and from start to start.
func seedOf(node, role string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(node + "/" + role))
	return hash.Sum64() ^ uint64(time.Now().UnixNano())
}

// address is where the process's link listens.
func (p *process) address(offset wire.PortOffset) string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.port(offset)))
}

func (p *process) port(offset wire.PortOffset) int { return p.settings.PortRange.First + offset }

// seeds are the link addresses of the controllers that the settings name.
func (p *process) seeds() []string { return p.seedsOf(p.settings) }

// seedsOf are the same for settings that have been read anew. The ports of all machines stay the same.
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

// member describes the process to the others.
func (p *process) member(role membership.Role, id, address string) membership.Member {
	return membership.Member{
		Name:        p.settings.NodeName + "/" + string(role),
		ID:          id,
		Role:        role,
		Zone:        p.settings.Zone,
		Address:     address,
		Control:     p.settings.ListenOn.Control,
		Incarnation: uint64(max(p.around.TimeOfDay().UnixMilli(), 1)),
	}
}

// newNode makes the process a member.
func (p *process) newNode(self membership.Member, took func(view.Update)) *node.Node {
	return node.New(node.Options{Self: self, Seeds: p.seeds(), Pool: p.pool, Logger: p.logger, Seed: p.seed, OnUpdate: took})
}

// join makes the process a member that follows the seeds of its settings, until ctx ends. The function that it returns tells the
// others that the process leaves.
func (p *process) join(ctx context.Context, member *node.Node, server *transport.Server) (leave func()) {
	p.metrics.SetZoneLookup(func(host string) metrics.ZoneClass { return p.zoneOf(member, host) })
	p.onReload(ctx, func(loaded *settings.Settings) { member.SetSeeds(p.seedsOf(loaded)) })
	joined, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		member.Run(joined, server)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// zoneOf tells whether a host is in the process's own zone, as far as its members tell.
func (p *process) zoneOf(member *node.Node, host string) metrics.ZoneClass {
	for _, m := range member.Members() {
		if known, _, err := net.SplitHostPort(m.Address); err == nil && known == host {
			return p.classOf(m.Zone)
		}
	}
	return metrics.UnknownZone
}

func (p *process) classOf(zone string) metrics.ZoneClass {
	if zone == p.settings.Zone {
		return metrics.OwnZone
	}
	return metrics.OtherZone
}

// terminated returns a context that ends with SIGTERM or SIGINT.
func terminated(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// tellEnd runs a role, and logs how long after it was told to end it did so.
func (p *process) tellEnd(stopping context.Context, run func() error) error {
	told := make(chan time.Time, 1)
	context.AfterFunc(stopping, func() {
		told <- time.Now()
		level.Info(p.logger).Log("msg", "process is told to end", "grace", p.settings.Bounds.Grace())
	})
	err := run()
	if stopping.Err() != nil { // else it ended by itself
		level.Info(p.logger).Log("msg", EndMessage, "after", time.Since(<-told))
	}
	return err
}

// fail logs an error that ends the process.
func fail(logger log.Logger, err error) subcommands.ExitStatus {
	level.Error(logger).Log("msg", "process ends", "err", err)
	return subcommands.ExitFailure
}

// standardLogger is used until the settings are known.
func standardLogger(role string) log.Logger {
	return log.With(log.NewLogfmtLogger(os.Stderr), "role", role)
}

// part returns a share of a duration.
func part(d time.Duration, share float64) time.Duration {
	return time.Duration(math.Round(float64(d) * share))
}
