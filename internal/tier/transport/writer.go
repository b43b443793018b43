package transport

import (
	"bytes"
	"slices"
	"sync"
)

// maxIdleQueueFrames is the largest capacity that an empty queue keeps.
const maxIdleQueueFrames = 256

// batches pools the buffers in which lines are joined and packed.
var batches = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// startWriterLocked starts the writer unless it is running or cannot write anything. The caller holds the mutex.
func (o *outbox) startWriterLocked() {
	if o.writing || o.closed || o.socket == nil || len(o.queue)+len(o.notices)+len(o.bulk) == 0 {
		return
	}
	o.writing = true
	o.running.Go(o.writeLoop)
}

// writeLoop writes until nothing is queued or a write fails, as it does once the connection closes the socket. Close of the pool or
// server waits for writeLoop.
func (o *outbox) writeLoop() {
	batch := batches.Get().(*bytes.Buffer)
	defer batches.Put(batch)
	for {
		batch.Reset()
		long := o.nextBatch(batch)
		if long == nil && batch.Len() == 0 {
			return
		}
		if err := o.writeBatch(batch, long); err != nil {
			o.onWriteError(err)
			return
		}
	}
}

// writeBatch writes a batch or one long line, packed if the peer is another machine.
func (o *outbox) writeBatch(batch, long *bytes.Buffer) error {
	lines := batch
	if long != nil {
		lines = long
		defer releaseLine(long)
	}
	if !o.packing {
		return o.writeBytes(lines.Bytes())
	}
	packed := batches.Get().(*bytes.Buffer)
	defer batches.Put(packed)
	packed.Reset()
	if err := o.packer.pack(packed, lines.Bytes()); err != nil {
		return err
	}
	return o.writeBytes(packed.Bytes())
}

// writeBytes writes to the socket and counts what was written.
func (o *outbox) writeBytes(bytes []byte) error {
	count, err := o.socket.Write(bytes)
	if o.meter != nil {
		o.meter.Written(o.address, count)
	}
	return err
}

// nextBatch moves queued lines into the batch, or returns one long line instead. Bulk notices are taken only if nothing else is
// queued. If there is neither a batch nor a long line, the writer must end.
func (o *outbox) nextBatch(batch *bytes.Buffer) (long *bytes.Buffer) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	long = o.dequeue(&o.queue, &o.queueBytes, batch)
	if long == nil {
		long = o.dequeue(&o.notices, &o.noticeBytes, batch)
	}
	if long == nil && batch.Len() == 0 {
		long = o.dequeue(&o.bulk, &o.bulkBytes, batch)
	}
	if o.queueBytes < streamBacklogBytes {
		o.signalSpaceLocked()
	}
	o.writing = !o.closed && (long != nil || batch.Len() > 0)
	if o.closed {
		batch.Reset()
		return nil
	}
	return long
}

// dequeue moves lines from the front of one queue into the batch while they fit. A line over maxBatchBytes is returned instead.
func (o *outbox) dequeue(queue *[]*frame, queuedBytes *int, batch *bytes.Buffer) (long *bytes.Buffer) {
	count := 0
	for _, queued := range *queue {
		size := queued.line.Len()
		if batch.Len() > 0 && batch.Len()+size > maxBatchBytes {
			break
		}
		queued.dequeued = true
		if o.meter != nil {
			o.meter.SentLine(queued.kind, o.address, size)
		}
		*queuedBytes -= size
		count++
		if size > maxBatchBytes {
			long = queued.line
			break
		}
		batch.Write(queued.line.Bytes())
		releaseLine(queued.line)
	}
	*queue = slices.Delete(*queue, 0, count)
	if len(*queue) == 0 && cap(*queue) > maxIdleQueueFrames {
		*queue = nil
	}
	return long
}
