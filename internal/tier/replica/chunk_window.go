package replica

import "time"

// maxChunkQueueDelay is the delay beyond the shortest one seen from which on chunks count as queueing on the link: there they would
// keep heartbeats, entries and other transfers waiting.
const maxChunkQueueDelay = 25 * time.Millisecond

// chunkWindow is how many chunks of a snapshot may be on their way to a follower. It follows the link by the delay of chunks, as
// LEDBAT does (RFC 6817): while acknowledgements come as soon as the quickest one did, the link takes more; once they come later,
// chunks queue.
type chunkWindow struct {
	size          int
	minSize       int
	maxSize       int
	shortestDelay time.Duration   // from sending a chunk to its acknowledgement; 0: none has come
	sentAt        []time.Duration // of the chunks on their way, in order
}

func newChunkWindow(minSize, maxSize int) chunkWindow {
	return chunkWindow{size: minSize, minSize: minSize, maxSize: maxSize}
}

// sent records that the next chunk is on its way.
func (w *chunkWindow) sent(now time.Duration) { w.sentAt = append(w.sentAt, now) }

// acknowledged records that the follower has taken so many chunks.
func (w *chunkWindow) acknowledged(now time.Duration, chunks int) {
	if chunks > len(w.sentAt) { // of an earlier attempt
		w.sentAt = nil
		return
	}
	delay := now - w.sentAt[chunks-1]
	w.sentAt = w.sentAt[chunks:]
	if w.shortestDelay == 0 || delay < w.shortestDelay {
		w.shortestDelay = delay
	}
	switch queueing := delay - w.shortestDelay; {
	case queueing < maxChunkQueueDelay:
		w.size = min(w.size+chunks, w.maxSize)
	case queueing > 2*maxChunkQueueDelay:
		w.size = max(w.size-1, w.minSize)
	}
}

// lost records that chunks are sent again.
func (w *chunkWindow) lost() {
	w.size = max(w.size/2, w.minSize)
	w.sentAt = nil
}
