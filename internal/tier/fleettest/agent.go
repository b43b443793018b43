package fleettest

import (
	"mastusher/internal/tier/view"
)

// agent is the process beside a proxy that is a member and holds the newest view.
type agent struct {
	process *process
	member  *member
	feeds   []*feedOut
}

// feedOut is a proxy that is fed, and what it has been sent.
type feedOut struct {
	call *exchange
	told view.Digest
}

// feedRequest asks an agent for all pieces newer than the digest, now and from now on. Each comes as a view.Update.
type feedRequest struct{ digest view.Digest }

func openAgent(p *process) (handler, error) {
	a := &agent{process: p}
	id := randomIdentity(p.machine.fleet.loop)
	a.member = newMember(p, id, p.machine.fleet.seeds(), func(view.Update) { p.after(0, a.feed) })
	return a, nil
}

func (a *agent) begin() { a.member.wake() }

func (a *agent) notice(string, any) {}

func (a *agent) datagram(from string, message any) { a.member.datagram(from, message) }

func (a *agent) serve(call *exchange, request any) {
	if a.member.serve(call, request) {
		return
	}
	if asked, ok := request.(feedRequest); ok {
		a.feeds = append(a.feeds, &feedOut{call: call, told: asked.digest})
		a.feed()
	}
}

// feed sends each proxy what it has not been sent.
func (a *agent) feed() {
	open := a.feeds[:0]
	for _, out := range a.feeds {
		if out.call.over {
			continue
		}
		open = append(open, out)
		for _, piece := range a.member.newer(out.told) {
			out.told[piece.Section] = piece.Stamp
			out.call.send(piece)
		}
	}
	a.feeds = open
}
