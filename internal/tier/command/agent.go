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

// agentFeedShare is the share of the grace time for which an agent continues to feed its proxy after SIGTERM.
const agentFeedShare = 0.8

// runAgent runs the role until stopping ends, and then for agentFeedShare of the grace time, because its proxy may still need it.
func (p *process) runAgent(stopping context.Context) error {
	address := p.address(wire.AgentPort)
	id := strconv.FormatUint(p.seed, 16)
	member := p.newNode(p.member(membership.Agent, id, address), nil)
	handlers := transport.NewHandlers()
	transport.HandleNotice(handlers, wire.MethodVersionStats, func(_ string, report wire.VersionStatsReport) { p.forwardVersionStats(member, report) })
	transport.Handle(handlers, wire.MethodProxies, func(context.Context, string, wire.ProxiesRequest) (wire.ProxiesResponse, error) {
		return wire.ProxiesResponse{Count: membership.CountRunning(member.Members(), membership.Agent)}, nil // each has a proxy
	})
	leave, err := p.serve(stopping, address, member, handlers)
	if err != nil {
		return err
	}
	defer leave()
	<-stopping.Done()
	time.Sleep(shareOf(p.settings.Bounds.GracePeriod(), agentFeedShare))
	return nil
}

// forwardVersionStats forwards a proxy's report to every controller, since any of them may be the leader that evaluates roll-outs.
func (p *process) forwardVersionStats(member *node.Node, report wire.VersionStatsReport) {
	for _, m := range member.Members() {
		if m.Role == membership.Controller && !m.DeadOrLeft() {
			// A lost report is replaced by the next one.
			_ = transport.Notify(p.pool, m.Address, wire.MethodVersionStats, report)
		}
	}
}
