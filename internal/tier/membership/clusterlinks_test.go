package membership

import (
	"encoding/json"
	"time"
)

func (c *cluster) delay() time.Duration {
	return c.shortest + time.Duration(c.random.Int64N(int64(c.longest-c.shortest)+1))
}

func (c *cluster) sendDatagram(from *host, datagram Datagram) {
	from.sent++
	from.recordSuspicions(c.loop.Now(), datagram.Message.Updates)
	if c.measure {
		encoded, err := json.Marshal(datagram.Message)
		if err != nil {
			panic(err)
		}
		from.bytes += len(encoded)
		c.largest = max(c.largest, len(encoded))
	}
	c.transmit(from, datagram)
	if c.random.Float64() < c.duplicate {
		c.transmit(from, datagram)
	}
}

func (c *cluster) transmit(from *host, datagram Datagram) {
	to := c.byAddress[datagram.Address]
	if to == nil || c.random.Float64() < c.loss {
		return
	}
	c.after(c.delay(), func() {
		if to.node != nil && !c.blocked(from, to) {
			c.deliver(to, Input{Datagrams: []Datagram{{from.member.Address, datagram.Message}}})
		}
	})
}

// replyRoute is the destination of the reply to a PushPullArrival.
type replyRoute struct {
	caller *host
	starts int
	token  uint64
}

func (c *cluster) call(from *host, call PushPullCall) {
	starts := from.starts
	c.calls++
	if c.measure {
		encoded, _ := json.Marshal(call.Message)
		c.callBytes += len(encoded)
	}
	fail := func(after time.Duration) {
		c.after(after, func() {
			if from.starts == starts && from.node != nil {
				c.deliver(from, Input{Results: []PushPullResult{{Token: call.Token, Failed: true}}})
			}
		})
	}
	const connectTimeout = time.Second
	to := c.byAddress[call.Address]
	if to == nil {
		fail(connectTimeout)
		return
	}
	c.after(2*c.delay(), func() {
		switch {
		case c.blocked(from, to) || c.blocked(to, from):
			fail(connectTimeout)
		case to.node == nil:
			fail(c.delay())
		default:
			c.routes = append(c.routes, replyRoute{from, starts, call.Token})
			c.deliver(to, Input{Arrivals: []PushPullArrival{{uint64(len(c.routes)), call.Message}}})
		}
	})
}

func (c *cluster) sendReply(from *host, reply PushPullReply) {
	route := c.routes[reply.Token-1]
	if c.measure {
		encoded, _ := json.Marshal(reply.Message)
		c.callBytes += len(encoded)
	}
	c.after(c.delay(), func() {
		if route.caller.starts != route.starts || route.caller.node == nil {
			return
		}
		outcome := PushPullResult{Token: route.token, Response: reply.Message, Failed: c.blocked(from, route.caller)}
		c.deliver(route.caller, Input{Results: []PushPullResult{outcome}})
	})
}
