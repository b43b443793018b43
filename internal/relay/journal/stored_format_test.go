package journal

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// storedMessages returns the messages of testdata/*.log. Each field is non-zero in at least one of them.
func storedMessages() []*Entry {
	entry := func(id string, tenant int) *Entry {
		return &Entry{ID: id, Key: "key-" + id, Front: "platform", Destination: 300, Class: 2, Tenant: tenant,
			Deadline: time.UnixMicro(4_102_444_800_000_001), Resubmitted: true, Body: []byte("body of " + id),
			Headers: []string{"X-Desk", "sports", "X-Empty", ""}, PolicyVersion: 1 << 40, MaxAttempts: 3}
	}
	accepted, inFlight, neverRan, ran := entry("accepted", 4), entry("in-flight", 0), entry("never-ran", 300), entry("ran", 1)
	retried, handedBack, givenUp, delivered := entry("retried", 2), entry("handed-back", 3), entry("given-up", 5), entry("delivered", 6)
	plain := &Entry{ID: "plain", Front: "activitypub", Tenant: -1, Deadline: start, Body: []byte{}}

	inFlight.Attempts, inFlight.InFlight, inFlight.LastAttemptAt, inFlight.LastAttemptOn = 1, true, start.Add(time.Second), "s-1"
	neverRan.Attempts, neverRan.LastAttemptAt, neverRan.LastAttemptOn = 1, start.Add(2*time.Second), "s-2"
	ran.Attempts, ran.MayHaveRun, ran.MayHaveRunAt, ran.MayHaveRunOn = 1, true, start.Add(3*time.Second), "s-3"
	ran.LastAttemptAt, ran.LastAttemptOn = ran.MayHaveRunAt, ran.MayHaveRunOn
	retried.Attempts, retried.InFlight, retried.MayHaveRun, retried.MayHaveRunAt, retried.MayHaveRunOn = 2, true, true, start.Add(4*time.Second), "s-4"
	retried.LastAttemptAt, retried.LastAttemptOn = start.Add(5*time.Second), "s-5"
	handedBack.NoticePending, handedBack.Notice = true, Notice{HandedBack: true, RetryAfter: 500 * time.Millisecond}
	givenUp.NoticePending = true
	delivered.NoticePending, delivered.Notice = true, Notice{Delivered: true}
	all := []*Entry{accepted, inFlight, neverRan, ran, retried, handedBack, givenUp, delivered, plain}
	for i, e := range all {
		e.Seq = uint64(i + 1)
	}
	return all
}

// writeStored writes the messages of storedMessages with the log's own methods, then two that have ended.
func writeStored(t *testing.T, log *Log) {
	t.Helper()
	attempt := func(message *Entry, at time.Time, destination string) {
		log.Schedule(message, at, destination)
		begin(t, log, message)
	}
	for _, want := range storedMessages() {
		message := *want
		message.Attempts, message.InFlight, message.MayHaveRun, message.MayHaveRunAt, message.MayHaveRunOn, message.LastAttemptAt, message.LastAttemptOn = 0, false, false, time.Time{}, "", time.Time{}, ""
		message.NoticePending, message.Notice = false, Notice{}
		if err := log.Accept(&message); err != nil {
			t.Fatal(err)
		}
		if err := log.Flush(); err != nil {
			t.Fatal(err)
		}
		if want.MayHaveRun {
			attempt(&message, want.MayHaveRunAt, want.MayHaveRunOn)
			log.EndAttempt(&message, false)
			if err := log.Flush(); err != nil { // as the core does at the end of a turn, before the next attempt begins
				t.Fatal(err)
			}
		}
		if want.InFlight || want.Attempts > 0 && !want.MayHaveRun {
			attempt(&message, want.LastAttemptAt, want.LastAttemptOn)
		}
		if want.Attempts > 0 && !want.MayHaveRun && !want.InFlight {
			log.EndAttempt(&message, true)
		}
		if want.NoticePending {
			log.EndWithNotice(&message, want.Notice)
		}
	}
	ended, acknowledged := accept(t, log, "ended", 3), accept(t, log, "acknowledged", 3)
	log.End(ended)
	log.EndWithNotice(acknowledged, Notice{})
	log.Ack(acknowledged)
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
}

// TestStoredFormat_ReadsFilesOfEarlierVersions: every field in a log written by an earlier version, whether appended, with a torn end or
// compacted, is read correctly, and the same calls still write the same bytes.
func TestStoredFormat_ReadsFilesOfEarlierVersions(t *testing.T) {
	dir := t.TempDir()
	log := open(t, dir, 1<<20)
	writeStored(t, log)
	appended, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil {
		t.Fatal(err)
	}
	if err = log.compact(); err != nil {
		t.Fatal(err)
	}
	compacted, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		file    string
		written []byte
	}{
		{"appended.log", appended}, {"torn.log", append(bytes.Clone(appended), appended[:frameHead+11]...)}, {"compacted.log", compacted},
	} {
		t.Run(c.file, func(t *testing.T) {
			stored, err := os.ReadFile(filepath.Join("testdata", c.file))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(stored, c.written) {
				t.Errorf("the messages are written as\n%q\nwant\n%q", c.written, stored)
			}
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, logName), stored, 0o600); err != nil {
				t.Fatal(err)
			}
			for _, from := range []string{"as stored", "compacted by this version"} {
				got := open(t, dir, 1<<20).Entries()
				if d := cmp.Diff(storedMessages(), got, cmpopts.IgnoreUnexported(Entry{})); d != "" {
					t.Errorf("%s (-want +got)\n%s", from, d)
				}
			}
		})
	}
}
