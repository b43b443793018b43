package fleettest

import (
	"mastusher/internal/tier/view"
)

// agent is the process beside a proxy that takes part in the membership protocol and holds the newest view.
type agent struct {
	process     *process
	member      *member
	subscribers []*feedSubscriber
}

// feedSubscriber is a proxy that receives updates, with the stamps of those that it has been sent.
type feedSubscriber struct {
	call *exchange
	sent view.Digest
}

// feedRequest subscribes to all updates newer than the digest, existing and future ones. Each response is a view.Update.
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

// feed sends each subscriber the updates that it hasn't been sent, and drops closed subscriptions.
func (a *agent) feed() {
	open := a.subscribers[:0]
	for _, subscriber := range a.subscribers {
		if subscriber.call.closed {
			continue
		}
		open = append(open, subscriber)
		for _, update := range a.member.newerThan(subscriber.sent) {
			subscriber.sent[update.Section] = update.Stamp
			subscriber.call.send(update)
		}
	}
	a.subscribers = open
}
