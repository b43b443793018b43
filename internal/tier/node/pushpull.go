package node

import (
	"context"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// pushPullTimeout bounds a push-pull call to another member.
const pushPullTimeout = 2 * time.Second

// pushPull makes a push-pull call to another member and queues the result for the next step. It ends with ctx or after
// pushPullTimeout; Run waits for it.
func (n *Node) pushPull(ctx context.Context, call membership.PushPullCall) {
	bounded, cancel := context.WithTimeout(ctx, pushPullTimeout)
	defer cancel()
	answer, err := transport.Call[membership.PushPullMessage, membership.PushPullMessage](bounded, n.options.Pool, call.Address, wire.MethodMembers, call.Message)
	n.mutex.Lock()
	n.input.Results = append(n.input.Results, membership.PushPullResult{Token: call.Token, Failed: err != nil, Response: answer})
	n.mutex.Unlock()
	n.signal()
}

// handlePushPull queues another member's call for the next step and waits for the reply.
func (n *Node) handlePushPull(ctx context.Context, _ string, message membership.PushPullMessage) (membership.PushPullMessage, error) {
	answer := make(chan membership.PushPullMessage, 1)
	n.mutex.Lock()
	n.token++
	token := n.token
	n.pendingReplies[token] = answer
	n.input.Arrivals = append(n.input.Arrivals, membership.PushPullArrival{Token: token, Message: message})
	n.mutex.Unlock()
	n.signal()
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		n.mutex.Lock()
		delete(n.pendingReplies, token)
		n.mutex.Unlock()
		return membership.PushPullMessage{}, ctx.Err()
	}
}

// deliverReply passes a reply to the handler that waits for it, unless the caller has stopped waiting.
func (n *Node) deliverReply(reply membership.PushPullReply) {
	n.mutex.Lock()
	answer := n.pendingReplies[reply.Token]
	delete(n.pendingReplies, reply.Token)
	n.mutex.Unlock()
	if answer != nil {
		answer <- reply.Message
	}
}
