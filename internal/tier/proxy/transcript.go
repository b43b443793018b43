package proxy

// transcript records the events that a client was sent in answer to its request, whichever attempts they came from.
type transcript struct {
	output    []byte // data of the events, each line followed by a line feed, if it is collected
	count     int64  // events that have data or an id
	lastID    string // of the last event with an id; "": none
	endsInGap bool   // the last event with data had no id, so it is unknown where the stream could be resumed
}

// add records events that are forwarded to the client.
func (t *transcript) add(batch *eventBatch) {
	t.output = append(t.output, batch.output...)
	t.count += batch.count
	if batch.hasID {
		t.lastID = batch.lastID
	}
	if batch.hasID || batch.endsInGap {
		t.endsInGap = batch.endsInGap
	}
}

// resumable reports whether it is known where another endpoint would have to go on.
func (t *transcript) resumable() bool { return t.lastID != "" && !t.endsInGap }

// capacityFor returns the bytes that the output may take once that many more have been added.
func (t *transcript) capacityFor(next int) int {
	return grownCapacity(cap(t.output), len(t.output)+next)
}
