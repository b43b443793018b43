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

// member returns the entry of this process in the membership. Its incarnation exceeds those of earlier starts as long as the machine's
// clock isn't set back.
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

// newNode creates the membership node of this process. join runs it.
func (p *process) newNode(self membership.Member, onUpdate func(view.Update)) *node.Node {
	return node.New(node.Options{Self: self, Seeds: p.membershipSeeds(p.settings), Pool: p.pool, Logger: p.logger, Seed: p.seed, OnUpdate: onUpdate})
}

// maxDiskSeeds limits how many addresses from the disk a process uses as seeds in addition to those of its settings. A larger value finds a
// running machine sooner after most have been replaced, but each dead address costs a datagram per seed interval.
const maxDiskSeeds = 8

// useDiskSeeds adds addresses from the disk to the seeds of the settings, whose machines may all be gone. It must be called before join.
func (p *process) useDiskSeeds(member *node.Node, addresses []string) {
	p.diskSeeds = addresses[:min(len(addresses), maxDiskSeeds)]
	member.SetSeeds(p.membershipSeeds(p.settings))
}

// membershipSeeds returns the seeds of the settings, followed by the addresses from the disk.
func (p *process) membershipSeeds(loaded *settings.Settings) []string {
	seeds := p.seedsOf(loaded)
	for _, address := range p.diskSeeds {
		if !slices.Contains(seeds, address) {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// join runs the node and follows changes of the seeds in the settings. leave announces that the process leaves, and waits until both have
// stopped. Only the values of ctx are used.
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

// zoneOf returns the zone class of a host, as far as the membership knows its zone.
func (p *process) zoneOf(member *node.Node, host string) metrics.ZoneClass {
	for _, m := range member.Members() {
		if known, _, err := net.SplitHostPort(m.Address); err == nil && known == host {
			return p.classOf(m.Zone)
		}
	}
	return metrics.UnknownZone
}

// classOf compares a zone with that of this process.
func (p *process) classOf(zone string) metrics.ZoneClass {
	if zone == p.settings.Zone {
		return metrics.OwnZone
	}
	return metrics.OtherZone
}
