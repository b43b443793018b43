package fleettest

import (
	"mastusher/internal/tier/view"
)

// agent is the process beside a proxy that is a member and holds the newest view.
type agent struct {
	process     *process
	member      *member
	subscribers []*feedSubscriber
}

// feedSubscriber is a proxy that is fed, and what it has been sent.
type feedSubscriber struct {
	call *exchange
	sent view.Digest
}

// feedRequest asks an agent for all updates newer than the digest, now and from now on. Each comes as a view.Update.
type feedRequest struct{ digest view.Digest }

func openAgent(p *process) (handler, error) {
	a := &agent{process: p}
	id := randomIdentity(p.machine.fleet.loop)
	a.member = newMember(p, id, p.machine.fleet.seeds(), func(view.Update) { p.after(0, a.feed) })
	return a, nil
}

func (a *agent) begin() { a.member.schedule() }

func (a *agent) handleMessage(string, any) {}

func (a *agent) handleDatagram(from string, message any) { a.member.handleDatagram(from, message) }

func (a *agent) serve(call *exchange, request any) {
	if a.member.serve(call, request) {
		return
	}
	if asked, ok := request.(feedRequest); ok {
		a.subscribers = append(a.subscribers, &feedSubscriber{call: call, sent: asked.digest})
		a.feed()
	}
}

// feed sends each proxy what it has not been sent.
func (a *agent) feed() {
	open := a.subscribers[:0]
	for _, out := range a.subscribers {
		if out.call.closed {
			continue
		}
		open = append(open, out)
		for _, update := range a.member.newerThan(out.sent) {
			out.sent[update.Section] = update.Stamp
			out.call.send(update)
		}
	}
	a.subscribers = open
}
