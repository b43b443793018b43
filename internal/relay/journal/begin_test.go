package journal

import (
	"testing"
	"time"
)

// TestBegin_OutcomeOfLastAttemptBuffered_IsWrittenBefore: what the log has noted of a message is read back in the order in which it
// happened, also where the next attempt begins before the turn's end has flushed the outcome of the last one.
func TestBegin_OutcomeOfLastAttemptBuffered_IsWrittenBefore(t *testing.T) {
	dir := t.TempDir()
	log := open(t, dir, 1<<20)
	entry := take(t, log, "twice", 9)
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
	// The process is killed now: the second attempt is on its way.
	found := open(t, dir, 1<<20).Entries()
	if len(found) != 1 || found[0].Attempts != 2 || !found[0].InFlight || found[0].LastAttemptOn != "b" {
		t.Errorf("read back: %+v", found[0])
	}
}
