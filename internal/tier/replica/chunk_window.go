package replica

import "time"

// maxChunkQueueDelay is the queueing delay, measured above the shortest delay seen, at which the window stops growing.
// Beyond it, chunks queued on the link would hold up heartbeats, entries and other transfers.
const maxChunkQueueDelay = 25 * time.Millisecond

// chunkWindow limits how many chunks of a snapshot may be in flight to one follower. It adapts to the delay of chunks, as
// LEDBAT does (RFC 6817): it grows while acknowledgements arrive about as fast as the fastest one did, and shrinks once a
// longer delay shows that chunks are queueing.
type chunkWindow struct {
	size          int
	minSize       int
	maxSize       int
	shortestDelay time.Duration   // from sending a chunk to its acknowledgement; 0: not measured yet
	sentAt        []time.Duration // when each chunk in flight was sent, in order
}

func newChunkWindow(minSize, maxSize int) chunkWindow {
	return chunkWindow{size: minSize, minSize: minSize, maxSize: maxSize}
}

// sent records that a chunk has been sent.
func (w *chunkWindow) sent(now time.Duration) { w.sentAt = append(w.sentAt, now) }

// acknowledged records that the follower has acknowledged the given number of further chunks, and adapts the window.
func (w *chunkWindow) acknowledged(now time.Duration, chunks int) {
	if chunks > len(w.sentAt) { // they were sent before the last retry
		w.sentAt = nil
		return
	}
	delay := now - w.sentAt[chunks-1]
	w.sentAt = w.sentAt[chunks:]
	if w.shortestDelay == 0 || delay < w.shortestDelay {
		w.shortestDelay = delay
	}
	switch queueDelay := delay - w.shortestDelay; {
	case queueDelay < maxChunkQueueDelay:
		w.size = min(w.size+chunks, w.maxSize)
	case queueDelay > 2*maxChunkQueueDelay:
		w.size = max(w.size-1, w.minSize)
	}
}

// lost records that chunks are being sent again, and halves the window.
func (w *chunkWindow) lost() {
	w.size = max(w.size/2, w.minSize)
	w.sentAt = nil
}
