package journal

import (
	"testing"
	"time"
)

// TestBegin_OutcomeOfLastAttemptBuffered_IsWrittenBefore: the records of a message are read back in the order in which things happened,
// also when an attempt begins before Flush has written the outcome of the attempt before it.
func TestBegin_OutcomeOfLastAttemptBuffered_IsWrittenBefore(t *testing.T) {
	dir := t.TempDir()
	log := open(t, dir, 1<<20)
	entry := accept(t, log, "twice", 9)
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
	log.Schedule(entry, start, "a")
	begin(t, log, entry)
	log.EndAttempt(entry, true)
	log.Schedule(entry, start.Add(time.Second), "b")
	begin(t, log, entry)
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
	// The log is not closed, as if the process were killed now, with the second attempt in flight.
	found := open(t, dir, 1<<20).Entries()
	if len(found) != 1 || found[0].Attempts != 2 || !found[0].InFlight || found[0].LastAttemptOn != "b" {
		t.Errorf("read back %+v, want the second attempt in flight to b", found[0])
	}
}
