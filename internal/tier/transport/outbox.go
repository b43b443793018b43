package transport

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
)

// frame is one queued line.
type frame struct {
	line *bytes.Buffer
	kind string // for the meter
	// dequeued is set when the line is handed to the writer. The outbox's mutex guards it.
	dequeued bool
}

// outbox is the send queue of one connection. A goroutine writes while something is queued, several lines in one write; see
// writer.go.
type outbox struct {
	limits       limits
	running      *sync.WaitGroup // counts the writer, for its owner's Close
	onWriteError func(error)     // called once after a failed write, without the mutex

	packer  packer // used by the writer only
	packing bool   // lines are packed, as they go to another machine
	meter   Meter  // nil: nothing is counted
	address string // of the other end, for the meter

	mutex       sync.Mutex // guards what follows
	socket      net.Conn   // nil until the dial is done
	queue       []*frame   // calls, answers and items, which must not be dropped
	queueBytes  int
	notices     []*frame
	noticeBytes int
	bulk        []*frame // notices that yield to all else
	bulkBytes   int
	writing     bool // a writer runs
	closed      bool
	space       chan struct{} // closed when the queue has shrunk; nil: nobody waits
}

// start sets the connection and writes what is queued.
func (o *outbox) start(socket net.Conn) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.socket = socket
	o.packing = !isSameMachine(socket)
	o.address = socket.RemoteAddr().String()
	o.startWriterLocked()
}

// push queues a line that must not be dropped. It fails with ErrClosed or ErrQueueFull; a line always fits an empty queue.
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

// pushLocked appends a line to the queue, whatever its size.
func (o *outbox) pushLocked(queued *frame) {
	o.queue = append(o.queue, queued)
	o.queueBytes += queued.line.Len()
	o.startWriterLocked()
}

// pushWait queues a line, and waits while more than streamBacklogBytes are queued.
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

// pushOrWait queues the line, or returns a channel that closes when there may be space.
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

// pushNotice queues a notice, drops the oldest ones beyond the bound and returns how many.
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

// pushBulk queues a notice that yields to all else. One beyond the bound is dropped, and false returned; one always fits.
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

// withdraw removes a queued line, and reports whether it was dequeued already, so that bytes of it may be written.
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

// close drops what is queued; later pushes fail.
func (o *outbox) close() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.closed = true
	o.queue, o.queueBytes = nil, 0
	o.notices, o.noticeBytes = nil, 0
	o.bulk, o.bulkBytes = nil, 0
	o.signalSpaceLocked()
}

// signalSpaceLocked wakes those that wait for space.
func (o *outbox) signalSpaceLocked() {
	if o.space != nil {
		close(o.space)
		o.space = nil
	}
}
