package transport

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
)

// frame is one line on its way out.
type frame struct {
	line *bytes.Buffer
	kind string // for the meter
	// taken is set when the line goes to the network. The outbox's lock guards it.
	taken bool
}

// outbox is the queue of one connection. A goroutine writes while something is queued, several lines in one write.
type outbox struct {
	limits limits
	broken func(error) // told once of a failed write, without the lock

	packer  packer // used by the goroutine that writes
	packing bool   // lines go to another machine
	meter   Meter  // nil: nobody counts
	address string // of the other end, for the meter

	mutex       sync.Mutex
	socket      net.Conn // nil until the dial is done
	kept        []*frame // calls, answers and items, which are never dropped
	keptBytes   int
	notices     []*frame
	noticeBytes int
	writing     bool
	closed      bool
	room        chan struct{} // closed when the backlog has shrunk; nil when nobody waits
}

// start gives the connection that lines go to, and writes what waits.
func (o *outbox) start(socket net.Conn) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.socket = socket
	o.packing = !isLocal(socket)
	o.address = socket.RemoteAddr().String()
	o.wakeLocked()
}

// push queues a line that must not be dropped.
func (o *outbox) push(queued *frame) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.closed {
		return ErrClosed
	}
	if o.keptBytes > 0 && o.keptBytes+queued.line.Len() > o.limits.queuedBytes {
		return ErrQueueFull
	}
	o.pushLocked(queued)
	return nil
}

func (o *outbox) pushLocked(queued *frame) {
	o.kept = append(o.kept, queued)
	o.keptBytes += queued.line.Len()
	o.wakeLocked()
}

// pushWhenRoom queues a line once the backlog is short, and waits for that.
func (o *outbox) pushWhenRoom(ctx context.Context, queued *frame) error {
	for {
		room, err := o.pushOrWait(queued)
		if err != nil || room == nil {
			return err
		}
		select {
		case <-room:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pushOrWait queues the line, or gives a channel that closes when there may be room.
func (o *outbox) pushOrWait(queued *frame) (<-chan struct{}, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.closed {
		return nil, ErrClosed
	}
	if o.keptBytes < streamBacklogBytes {
		o.pushLocked(queued)
		return nil, nil
	}
	if o.room == nil {
		o.room = make(chan struct{})
	}
	return o.room, nil
}

// pushNotice queues a line and drops the oldest notices beyond the bound. It gives the number dropped.
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
	o.wakeLocked()
	return dropped
}

// withdraw removes a line that has not been taken, and says whether it has been.
func (o *outbox) withdraw(queued *frame) (taken bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if queued.taken {
		return true
	}
	at := slices.Index(o.kept, queued)
	if at >= 0 {
		o.keptBytes -= queued.line.Len()
		releaseLine(queued.line)
		o.kept = slices.Delete(o.kept, at, at+1)
	}
	return false
}

// close drops what waits; later pushes fail.
func (o *outbox) close() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.closed = true
	o.kept, o.keptBytes = nil, 0
	o.notices, o.noticeBytes = nil, 0
	o.openRoomLocked()
}

func (o *outbox) openRoomLocked() {
	if o.room != nil {
		close(o.room)
		o.room = nil
	}
}

func (o *outbox) wakeLocked() {
	if o.writing || o.socket == nil || len(o.kept)+len(o.notices) == 0 {
		return
	}
	o.writing = true
	go o.drain()
}

// batches holds buffers in which short lines are joined, and packed.
var batches = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// drain writes until nothing is queued.
func (o *outbox) drain() {
	batch := batches.Get().(*bytes.Buffer)
	defer batches.Put(batch)
	for {
		batch.Reset()
		long := o.take(batch)
		if long == nil && batch.Len() == 0 {
			return
		}
		if err := o.write(batch, long); err != nil {
			o.broken(err)
			return
		}
	}
}

func (o *outbox) write(batch, long *bytes.Buffer) error {
	lines := batch
	if long != nil {
		lines = long
		defer releaseLine(long)
	}
	if !o.packing {
		return o.writeOut(lines.Bytes())
	}
	packed := batches.Get().(*bytes.Buffer)
	defer batches.Put(packed)
	packed.Reset()
	if err := o.packer.pack(packed, lines.Bytes()); err != nil {
		return err
	}
	return o.writeOut(packed.Bytes())
}

func (o *outbox) writeOut(bytes []byte) error {
	count, err := o.socket.Write(bytes)
	if o.meter != nil {
		o.meter.Written(o.address, count)
	}
	return err
}

// take moves queued lines into the batch, or gives one long line by itself. When there is none, the writing ends.
func (o *outbox) take(batch *bytes.Buffer) (long *bytes.Buffer) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	long = o.takeFrom(&o.kept, &o.keptBytes, batch)
	if long == nil {
		long = o.takeFrom(&o.notices, &o.noticeBytes, batch)
	}
	if o.keptBytes < streamBacklogBytes {
		o.openRoomLocked()
	}
	o.writing = !o.closed && (long != nil || batch.Len() > 0)
	if o.closed {
		batch.Reset()
		return nil
	}
	return long
}

func (o *outbox) takeFrom(queue *[]*frame, queuedBytes *int, batch *bytes.Buffer) (long *bytes.Buffer) {
	count := 0
	for _, queued := range *queue {
		size := queued.line.Len()
		if batch.Len() > 0 && batch.Len()+size > batchBytes {
			break
		}
		queued.taken = true
		if o.meter != nil {
			o.meter.SentLine(queued.kind, o.address, size)
		}
		*queuedBytes -= size
		count++
		if size > batchBytes {
			long = queued.line
			break
		}
		batch.Write(queued.line.Bytes())
		releaseLine(queued.line)
	}
	*queue = slices.Delete(*queue, 0, count)
	if len(*queue) == 0 && cap(*queue) > keptQueueFrames {
		*queue = nil
	}
	return long
}

// keptQueueFrames is the capacity that an empty queue may keep.
const keptQueueFrames = 256
