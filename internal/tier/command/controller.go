package command

import (
	"context"
	"errors"
	"slices"

	"mastusher/internal/tier/controller"
	"mastusher/internal/tier/identity"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/platformlist"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// runController runs the role until ctx ends or one of its two goroutines ends, and returns once both have ended.
func (p *process) runController(ctx context.Context) error {
	address := p.address(wire.ControllerPort)
	disk, id, err := p.openDisk(ctx, address)
	if err != nil {
		return err
	}
	reader, err := platformlist.NewReader(platformlist.Options{Address: p.settings.CloudAPI.Address, RatePerS: p.settings.CloudAPI.RatePerS, Seed: p.seed,
		Network: p.env.Network})
	if err != nil {
		return err
	}
	defer reader.Close()
	member := p.newNode(p.member(membership.Controller, id, address), nil)
	var running *controller.Controller
	err = p.retryStart(ctx, "configuration on the disk", func() error {
		running, err = controller.Open(controller.Options{ID: id, Address: address, Settings: p.settings, Initial: p.initialMembers(id), Disk: disk,
			Pool: p.pool, Fleet: member, Reader: reader, Logger: p.logger, Seed: p.seed,
			RunBackground: runBackground, Metrics: p.metrics, Network: p.env.Network, Now: p.env.Now, Memory: p.memory})
		return err
	})
	if err != nil {
		return err
	}
	p.useDiskSeeds(member, running.KnownAddresses())
	handlers := transport.NewHandlers()
	running.Register(handlers)
	leave, err := p.serve(ctx, address, member, handlers)
	if err != nil {
		return err
	}
	defer leave()
	bounded, end := context.WithCancel(ctx)
	defer end()
	ended := make(chan error, 2)
	go func() { ended <- running.Run(bounded) }()
	go func() { ended <- running.Serve(bounded, p.settings.ListenOn.Control) }()
	first := <-ended
	end()
	return errors.Join(first, <-ended)
}

// initialMembers returns the initial members of the configuration group at the first start of the system: the seeds, if this controller
// is one of them, and nil otherwise. It is nil at all later starts.
func (p *process) initialMembers(id string) []replica.Member {
	if !p.settings.Bootstrap {
		return nil
	}
	var members []replica.Member
	for _, seed := range p.seeds() {
		members = append(members, replica.Member{ID: identity.BootstrapID(seed), Address: seed})
	}
	if !slices.ContainsFunc(members, func(m replica.Member) bool { return m.ID == id }) {
		return nil
	}
	return members
}
