package command

import (
	"context"
	"strconv"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/node"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// agentLinger is the part of the grace time for which an agent goes on feeding its proxy after SIGTERM.
const agentLinger = 0.8

// runAgent runs the role until stopping ends, and then for as long as its proxy may need it.
func (p *process) runAgent(stopping context.Context) error {
	address := p.address(wire.AgentPort)
	id := strconv.FormatUint(p.seed, 16)
	member := p.newNode(p.member(membership.Agent, id, address), nil)
	handlers := transport.NewHandlers()
	transport.HandleNotice(handlers, wire.MethodVersionStats, func(_ string, tallies wire.VersionStatsReport) { p.forward(member, tallies) })
	transport.Handle(handlers, wire.MethodProxies, func(context.Context, string, wire.ProxiesRequest) (wire.ProxiesResponse, error) {
		return wire.ProxiesResponse{Count: countProxies(member.Members())}, nil
	})
	leave, err := p.serve(stopping, address, member, handlers)
	if err != nil {
		return err
	}
	defer leave()
	<-stopping.Done()
	time.Sleep(part(p.settings.Bounds.Grace(), agentLinger))
	return nil
}

// countProxies tells how many proxies run: one beside each agent.
func countProxies(members []membership.Member) int {
	count := 0
	for _, m := range members {
		if m.Role == membership.Agent && !m.DeadOrLeft() {
			count++
		}
	}
	return count
}

// forward passes a proxy's report on to every controller, so that whichever owns the configuration can judge.
func (p *process) forward(member *node.Node, tallies wire.VersionStatsReport) {
	for _, m := range member.Members() {
		if m.Role == membership.Controller && !m.DeadOrLeft() {
			// A report that is lost is made good by the next one.
			_ = transport.Notify(p.pool, m.Address, wire.MethodVersionStats, tallies)
		}
	}
}
