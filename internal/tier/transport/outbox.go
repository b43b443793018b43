package transport

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
)

// frame is an encoded line in the queue of an outbox.
type frame struct {
	line *bytes.Buffer
	kind string // for the meter
	// dequeued is set when the line is passed to the writer. The outbox's mutex guards it.
	dequeued bool
}

// outbox is the send queue of one connection. While lines are queued, a goroutine writes them in batches; see writer.go.
type outbox struct {
	limits       limits
	running      *sync.WaitGroup // counts the writer, so that Close of the pool or server waits for it
	onWriteError func(error)     // called once after a failed write, without the mutex

	packer  packer // used by the writer only
	packing bool   // whether lines are packed, as the peer is another machine
	meter   Meter  // nil: no counting
	address string // of the peer, for the meter

	mutex       sync.Mutex // guards the fields below
	socket      net.Conn   // nil until dialled
	queue       []*frame   // calls, answers and items, which must not be dropped
	queueBytes  int
	notices     []*frame
	noticeBytes int
	bulk        []*frame // notices that are sent only when nothing else is queued
	bulkBytes   int
	writing     bool // whether a writer is running
	closed      bool
	space       chan struct{} // closed when the queue has space; nil if nobody waits
}

// start sets the socket and starts writing the queued lines.
func (o *outbox) start(socket net.Conn) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.socket = socket
	o.packing = !isSameMachine(socket)
	o.address = socket.RemoteAddr().String()
	o.startWriterLocked()
}

// push queues a line that must not be dropped. It fails with ErrClosed or ErrQueueFull. An empty queue accepts a line of any size.
func (o *outbox) push(queued *frame) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.closed {
		return ErrClosed
	}
	if o.queueBytes > 0 && o.queueBytes+queued.line.Len() > o.limits.queuedBytes {
		return ErrQueueFull
	}
	o.pushLocked(queued)
	return nil
}

// pushLocked appends a line of any size to the queue. The caller holds the mutex.
func (o *outbox) pushLocked(queued *frame) {
	o.queue = append(o.queue, queued)
	o.queueBytes += queued.line.Len()
	o.startWriterLocked()
}

// pushWait queues a line, after waiting while streamBacklogBytes or more are queued.
func (o *outbox) pushWait(ctx context.Context, queued *frame) error {
	for {
		space, err := o.pushOrWait(queued)
		if err != nil || space == nil {
			return err
		}
		select {
		case <-space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pushOrWait queues a line, or returns a channel that is closed when there may be space.
func (o *outbox) pushOrWait(queued *frame) (<-chan struct{}, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.closed {
		return nil, ErrClosed
	}
	if o.queueBytes < streamBacklogBytes {
		o.pushLocked(queued)
		return nil, nil
	}
	if o.space == nil {
		o.space = make(chan struct{})
	}
	return o.space, nil
}

// pushNotice queues a notice, drops the oldest notices beyond the limit and returns the number dropped.
func (o *outbox) pushNotice(queued *frame) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.closed {
		releaseLine(queued.line)
		return 1
	}
	o.notices = append(o.notices, queued)
	o.noticeBytes += queued.line.Len()
	dropped := 0
	for o.noticeBytes > o.limits.noticeBytes && len(o.notices) > 1 {
		o.noticeBytes -= o.notices[0].line.Len()
		releaseLine(o.notices[0].line)
		o.notices[0] = nil
		o.notices = o.notices[1:]
		dropped++
	}
	o.startWriterLocked()
	return dropped
}

// pushBulk queues a bulk notice, or drops it and returns false if it would exceed the limit. An empty queue accepts a notice of any
// size.
func (o *outbox) pushBulk(queued *frame) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.closed || o.bulkBytes > 0 && o.bulkBytes+queued.line.Len() > o.limits.bulkBytes {
		releaseLine(queued.line)
		return false
	}
	o.bulk = append(o.bulk, queued)
	o.bulkBytes += queued.line.Len()
	o.startWriterLocked()
	return true
}

// withdraw removes a line from the queue. It returns true if the writer already has the line, and may have written bytes of it.
func (o *outbox) withdraw(queued *frame) (dequeued bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if queued.dequeued {
		return true
	}
	at := slices.Index(o.queue, queued)
	if at >= 0 {
		o.queueBytes -= queued.line.Len()
		releaseLine(queued.line)
		o.queue = slices.Delete(o.queue, at, at+1)
	}
	return false
}

// close drops all queued lines; later pushes fail.
func (o *outbox) close() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.closed = true
	o.queue, o.queueBytes = nil, 0
	o.notices, o.noticeBytes = nil, 0
	o.bulk, o.bulkBytes = nil, 0
	o.signalSpaceLocked()
}

// signalSpaceLocked wakes the goroutines that wait for space. The caller holds the mutex.
func (o *outbox) signalSpaceLocked() {
	if o.space != nil {
		close(o.space)
		o.space = nil
	}
}
