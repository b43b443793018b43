package memorynetwork

import (
	"syscall"
	"time"
)

// send puts a segment on its way. The caller holds the mutex.
func (e *end) send(sent segment) {
	sent.at = time.Now().Add(e.network.delay(e.process.machine, e.peer.process.machine))
	if last := len(e.flight) - 1; last >= 0 && sent.at.Before(e.flight[last].at) {
		sent.at = e.flight[last].at
	}
	e.flight = append(e.flight, sent)
	e.flightBytes += len(sent.data)
	if !e.pumping {
		e.pumping = true
		time.AfterFunc(time.Until(sent.at), e.pump)
	}
}

// pump hands on what has arrived.
func (e *end) pump() {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	e.pumping = false
	for len(e.flight) > 0 {
		if !e.network.carries(e.process.machine, e.peer.process.machine) {
			e.retransmit()
			return
		}
		e.pause = 0
		head := e.flight[0]
		if wait := time.Until(head.at); wait > 0 {
			e.pumping = true
			time.AfterFunc(wait, e.pump)
			return
		}
		e.flight = e.flight[1:]
		e.flightBytes -= len(head.data)
		e.peer.arrive(head)
	}
}

// retransmit tries again after a pause that grows. The bytes of an end that is gone are not tried for ever. The caller holds
// the mutex.
func (e *end) retransmit() {
	if e.pause == 0 {
		e.pause = firstRetransmission
	} else {
		e.pause *= 2
	}
	if e.pause > lastRetransmission {
		e.pause = lastRetransmission
		if e.closed {
			e.flight, e.flightBytes = nil, 0
			return
		}
	}
	e.pumping = true
	time.AfterFunc(e.pause, e.pump)
}

// arrive takes a segment in. The caller holds the mutex.
func (e *end) arrive(came segment) {
	switch {
	case came.reset:
		e.fail(syscall.ECONNRESET)
	case e.closed || e.failure != nil:
		if len(came.data) > 0 {
			e.answerReset()
		}
	case came.fin:
		e.finished = true
	default:
		e.received = append(e.received, came.data...)
	}
	e.changed.Broadcast()
}

// answerReset tells the peer that there is no such connection here. The caller holds the mutex.
func (e *end) answerReset() {
	here, there := e.process.machine, e.peer.process.machine
	if !e.network.carries(here, there) {
		return
	}
	time.AfterFunc(e.network.delay(here, there), func() {
		e.network.mutex.Lock()
		defer e.network.mutex.Unlock()
		e.peer.fail(syscall.ECONNRESET)
	})
}

// fail breaks the connection at this end only. The caller holds the mutex.
func (e *end) fail(cause error) {
	if e.closed || e.failure != nil {
		return
	}
	e.failure = cause
	e.flight, e.flightBytes = nil, 0
	e.changed.Broadcast()
}

// inTouch tells whether both directions carry. The caller holds the mutex.
func (e *end) inTouch() bool {
	here, there := e.process.machine, e.peer.process.machine
	return e.network.carries(here, there) && e.network.carries(there, here)
}

// noticeSilence breaks the connection if the peer stays out of touch for so long that a kernel gives it up. The caller holds
// the mutex.
func (e *end) noticeSilence() {
	if e.silence == 0 {
		return
	}
	e.noticeSince++
	since := e.noticeSince
	time.AfterFunc(e.silence, func() {
		e.network.mutex.Lock()
		defer e.network.mutex.Unlock()
		if e.noticeSince == since && !e.inTouch() {
			e.fail(syscall.ETIMEDOUT)
		}
	})
}

// probe finds out soon whether the peer still knows the connection. The caller holds the mutex.
func (e *end) probe() {
	if e.probeAfter == 0 || !e.inTouch() {
		return
	}
	e.noticeSince++
	time.AfterFunc(e.probeAfter, func() {
		e.network.mutex.Lock()
		defer e.network.mutex.Unlock()
		if e.inTouch() && (e.peer.closed && len(e.peer.flight) == 0 && !e.finished || e.peer.failure != nil) {
			e.fail(syscall.ECONNRESET)
		}
	})
}
