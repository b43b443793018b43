package memorynetwork

import (
	"syscall"
	"time"
)

// segment is a unit of transmission from one endpoint to the other.
type segment struct {
	data      []byte
	fin       bool
	reset     bool
	arrivesAt time.Time
}

// send transmits a segment. Segments stay in order despite random delays. The caller holds the mutex.
func (e *endpoint) send(sent segment) {
	sent.arrivesAt = time.Now().Add(e.network.delay(e.process.machine, e.peer.process.machine))
	if last := len(e.inFlight) - 1; last >= 0 && sent.arrivesAt.Before(e.inFlight[last].arrivesAt) {
		sent.arrivesAt = e.inFlight[last].arrivesAt
	}
	e.inFlight = append(e.inFlight, sent)
	e.inFlightBytes += len(sent.data)
	if !e.delivering {
		e.delivering = true
		time.AfterFunc(time.Until(sent.arrivesAt), e.deliver)
	}
}

// deliver passes the segments that are due to the peer, or schedules a retransmission if the peer is unreachable.
func (e *endpoint) deliver() {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	e.delivering = false
	for len(e.inFlight) > 0 {
		if !e.network.reachable(e.process.machine, e.peer.process.machine) {
			e.retransmit()
			return
		}
		e.retransmitTimeout = 0
		head := e.inFlight[0]
		if wait := time.Until(head.arrivesAt); wait > 0 {
			e.delivering = true
			time.AfterFunc(wait, e.deliver)
			return
		}
		e.inFlight = e.inFlight[1:]
		e.inFlightBytes -= len(head.data)
		e.peer.receive(head)
	}
}

// retransmit schedules another delivery after a timeout that doubles each time. When the timeout exceeds the maximum, a closed
// endpoint gives up. The caller holds the mutex.
func (e *endpoint) retransmit() {
	if e.retransmitTimeout == 0 {
		e.retransmitTimeout = minRetransmitTimeout
	} else {
		e.retransmitTimeout *= 2
	}
	if e.retransmitTimeout > maxRetransmitTimeout {
		e.retransmitTimeout = maxRetransmitTimeout
		if e.closed {
			e.inFlight, e.inFlightBytes = nil, 0
			return
		}
	}
	e.delivering = true
	time.AfterFunc(e.retransmitTimeout, e.deliver)
}

// receive handles a segment from the peer. The caller holds the mutex.
func (e *endpoint) receive(got segment) {
	switch {
	case got.reset:
		e.fail(syscall.ECONNRESET)
	case e.closed || e.failure != nil:
		if len(got.data) > 0 {
			e.replyReset()
		}
	case got.fin:
		e.remoteClosed = true
	default:
		e.receiveBuffer = append(e.receiveBuffer, got.data...)
	}
	e.changed.Broadcast()
}

// replyReset resets the peer, as this endpoint no longer has the connection. The caller holds the mutex.
func (e *endpoint) replyReset() {
	here, there := e.process.machine, e.peer.process.machine
	if !e.network.reachable(here, there) {
		return
	}
	time.AfterFunc(e.network.delay(here, there), func() {
		e.network.mutex.Lock()
		defer e.network.mutex.Unlock()
		e.peer.fail(syscall.ECONNRESET)
	})
}

// fail breaks the connection at this endpoint only. The caller holds the mutex.
func (e *endpoint) fail(cause error) {
	if e.closed || e.failure != nil {
		return
	}
	e.failure = cause
	e.inFlight, e.inFlightBytes = nil, 0
	e.changed.Broadcast()
}
