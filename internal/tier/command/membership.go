package command

import (
	"context"
	"net"
	"slices"
	"sync"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/node"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
)

// member returns what the others learn of the process. The incarnation exceeds that of its earlier starts as long as the
// machine's clock isn't set back.
func (p *process) member(role membership.Role, id, address string) membership.Member {
	return membership.Member{
		Name:        p.settings.NodeName + "/" + string(role),
		ID:          id,
		Role:        role,
		Zone:        p.settings.Zone,
		Address:     address,
		Control:     p.settings.ListenOn.Control,
		Incarnation: uint64(max(p.env.Now().UnixMilli(), 1)),
	}
}

// newNode returns the process's node in the membership, which doesn't run yet.
func (p *process) newNode(self membership.Member, onUpdate func(view.Update)) *node.Node {
	return node.New(node.Options{Self: self, Seeds: p.membershipSeeds(p.settings), Pool: p.pool, Logger: p.logger, Seed: p.seed, OnUpdate: onUpdate})
}

// maxDiskSeeds bounds the machines named by its disk that a process tries beside the seeds of its settings. More find a running
// one sooner where most have been replaced, and each that is gone costs a datagram at each interval of the seeds.
const maxDiskSeeds = 8

// useDiskSeeds has the node try machines that the disk names beside the seeds of the settings, which may all be gone. It must be
// called before join.
func (p *process) useDiskSeeds(member *node.Node, addresses []string) {
	p.diskSeeds = addresses[:min(len(addresses), maxDiskSeeds)]
	member.SetSeeds(p.membershipSeeds(p.settings))
}

// membershipSeeds are the seeds of the settings, and the machines that the disk names.
func (p *process) membershipSeeds(loaded *settings.Settings) []string {
	seeds := p.seedsOf(loaded)
	for _, address := range p.diskSeeds {
		if !slices.Contains(seeds, address) {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// join runs the node, which follows the seeds of the settings. The function that it returns announces that the process leaves, and
// waits for the end of both. ctx gives values alone.
func (p *process) join(ctx context.Context, member *node.Node, server *transport.Server) (leave func()) {
	p.metrics.SetZoneLookup(func(host string) metrics.ZoneClass { return p.zoneOf(member, host) })
	watched := newWatchedFile(p.env.SettingsPath, p.logger, func(loaded *settings.Settings) { member.SetSeeds(p.membershipSeeds(loaded)) })
	joined, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var running sync.WaitGroup
	running.Go(func() { p.followSettings(joined, watched) })
	running.Go(func() { member.Run(joined, server) })
	return func() {
		cancel()
		running.Wait()
	}
}

// zoneOf reports whether a host is in the process's own zone, as far as the members say.
func (p *process) zoneOf(member *node.Node, host string) metrics.ZoneClass {
	for _, m := range member.Members() {
		if known, _, err := net.SplitHostPort(m.Address); err == nil && known == host {
			return p.classOf(m.Zone)
		}
	}
	return metrics.UnknownZone
}

// classOf compares a zone with the process's own.
func (p *process) classOf(zone string) metrics.ZoneClass {
	if zone == p.settings.Zone {
		return metrics.OwnZone
	}
	return metrics.OtherZone
}
