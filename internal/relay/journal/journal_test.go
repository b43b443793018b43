package journal

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var start = time.UnixMicro(1_700_000_000_000_000)

func open(t testing.TB, dir string, disk int64) *Log {
	t.Helper()
	log, err := Open(dir, disk)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

func accept(t testing.TB, log *Log, id string, body int) *Entry {
	t.Helper()
	entry := &Entry{ID: id, Key: "k-" + id, Front: "platform", Destination: 7, Class: 1, Deadline: start.Add(time.Second),
		Body: make([]byte, body)}
	if err := log.Accept(entry); err != nil {
		t.Fatal(err)
	}
	return entry
}

func begin(t testing.TB, log *Log, all ...*Entry) {
	t.Helper()
	if !log.Begin(all) {
		t.Fatal("Begin refused an attempt")
	}
}

// fillWithEveryState adds messages in every state to a log.
func fillWithEveryState(t testing.TB, log *Log) {
	inFlight, refused, ran, notified, ended, acked := accept(t, log, "out", 9), accept(t, log, "refused", 9), accept(t, log, "ran", 9),
		accept(t, log, "notified", 9), accept(t, log, "over", 9), accept(t, log, "acked", 9)
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
	log.Schedule(inFlight, start, "a")
	begin(t, log, inFlight)
	log.Schedule(refused, start, "a")
	begin(t, log, refused)
	log.EndAttempt(refused, true)
	log.Schedule(ran, start, "a")
	begin(t, log, ran)
	log.EndAttempt(ran, false)
	_ = log.Flush()
	log.Schedule(ran, start.Add(time.Second), "b")
	begin(t, log, ran)
	log.EndWithNotice(notified, Notice{HandedBack: true, RetryAfter: 500 * time.Millisecond})
	log.End(ended)
	log.EndWithNotice(acked, Notice{})
	log.Ack(acked)
}

func TestLog_Reopened_RestoresEveryState(t *testing.T) {
	dir := t.TempDir()
	log := open(t, dir, 1<<20)
	fillWithEveryState(t, log)
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
	want := log.Entries()
	if len(want) != 4 {
		t.Fatalf("%d entries have not ended or have an outstanding notice, want 4", len(want))
	}
	for _, step := range []string{"from the log as written", "from the compacted log"} {
		log := open(t, dir, 1<<20) // the log that wrote the file is not closed, as after SIGKILL
		if d := cmp.Diff(want, log.Entries(), cmpopts.IgnoreUnexported(Entry{})); d != "" {
			t.Errorf("%s (-want +got)\n%s", step, d)
		}
		if entry := accept(t, log, "next", 0); entry.Seq != 7 && step == "from the log as written" {
			t.Errorf("a new message got number %d, want 7: numbers must not be reused", entry.Seq)
		}
	}
}

// fileWithEveryState returns the file of a log with messages in every state.
func fileWithEveryState(t testing.TB) []byte {
	t.Helper()
	dir := t.TempDir()
	log := open(t, dir, 1<<20)
	fillWithEveryState(t, log)
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestLog_TornAtAnyByte_KeepsWhatStandsBefore guards against losing records after a kill in the middle of a write: all complete records
// before the torn one are read, wherever the file is torn.
func TestLog_TornAtAnyByte_KeepsWhatStandsBefore(t *testing.T) {
	text := fileWithEveryState(t)
	last := 0
	for size := range len(text) + 1 {
		torn := &Log{entries: map[uint64]*Entry{}}
		complete := torn.replay(text[:size])
		if complete > size || complete < last {
			t.Fatalf("of %d bytes %d are in complete records, but %d in a shorter file", size, complete, last)
		}
		last = complete
	}
	if last != len(text) {
		t.Errorf("of %d bytes %d are in complete records, want all", len(text), last)
	}
	text[len(text)/2] ^= 1
	if complete := (&Log{entries: map[uint64]*Entry{}}).replay(text); complete > len(text)/2 {
		t.Errorf("the record at byte %d is damaged, but records were read up to byte %d", len(text)/2, complete)
	}
}

// TestLog_FolderLimit_IsNeverExceeded guards against a folder that exceeds its limit, which counts as a crash of the relay, also during
// compaction, when two files exist.
func TestLog_FolderLimit_IsNeverExceeded(t *testing.T) {
	const disk = 512 << 10
	dir := t.TempDir()
	log := open(t, dir, disk)
	var accepted []*Entry
	full := 0
	for i := range 5000 {
		entry := &Entry{ID: "m", Front: "platform", Body: make([]byte, i%4000)}
		if err := log.Accept(entry); errors.Is(err, ErrFull) {
			full++
			for _, oldest := range accepted[:len(accepted)/2] {
				log.End(oldest)
			}
			accepted = accepted[len(accepted)/2:]
		} else if err != nil {
			t.Fatal(err)
		} else {
			log.Schedule(entry, start, "a")
			accepted = append(accepted, entry)
		}
		before := log.size
		if err := log.Flush(); err != nil {
			t.Fatal(err)
		}
		if n := len(accepted); n > 0 && accepted[n-1].Attempts > accepted[n-1].loggedAttempts {
			begin(t, log, accepted[n-1])
		}
		if atMost := max(before, log.size) + log.liveBytes + 2*blockSize; log.size < before && atMost > disk || log.size > disk {
			t.Fatalf("at message %d the folder may have held %d bytes, more than the limit of %d", i, atMost, disk)
		}
	}
	if full == 0 {
		t.Error("no message was refused, want some since the folder is too small")
	}
}

// TestLog_ThousandMessages_FitIntoThreeMegabytes guards against refusing messages that the folder has room for: at peak load a relay with
// 3 MB holds close to a thousand messages.
func TestLog_ThousandMessages_FitIntoThreeMegabytes(t *testing.T) {
	log := open(t, t.TempDir(), 3<<20)
	for i := range 1100 {
		if err := log.Accept(&Entry{ID: "9b1f03aa5c7e2d41", Key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Front: "platform",
			Body: make([]byte, 600)}); err != nil {
			t.Fatalf("message %d: %v", i, err)
		}
	}
}

func FuzzReplay(f *testing.F) {
	f.Add(fileWithEveryState(f))
	f.Fuzz(func(t *testing.T, in []byte) {
		log := &Log{entries: map[uint64]*Entry{}}
		if read := log.replay(in); read > len(in) {
			t.Errorf("%d bytes were read, more than the %d there are", read, len(in))
		}
		for payload := in; len(payload) > 0; payload = payload[1:] { // also without valid frames and checksums
			log.apply(payload)
		}
	})
}

// TestLog_Tenant_OutlastsRestartAndCompaction: a message keeps its tenant after restarts and compaction. In a log of an older version no
// message has a tenant.
func TestLog_Tenant_OutlastsRestartAndCompaction(t *testing.T) {
	dir := t.TempDir()
	log := open(t, dir, 1<<20)
	for _, tenant := range []int{-1, 0, 300} {
		if err := log.Accept(&Entry{ID: "m", Front: "platform", Tenant: tenant}); err != nil {
			t.Fatal(err)
		}
	}
	old := binary.AppendUvarint(appendText(appendText(appendText(nil, "old"), ""), "platform"), 7) // the format without headers and tenant
	old = binary.AppendUvarint(appendTime(binary.AppendUvarint(old, 1), start), 0)
	log.appendRecord(recordAccepted, 9, func(b []byte) []byte { return appendText(append(b, old...), "body") })
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second time from a file that was compacted
		var got []int
		for _, entry := range open(t, dir, 1<<20).Entries() {
			got = append(got, entry.Tenant)
		}
		if want := []int{-1, 0, 300, -1}; !slices.Equal(got, want) {
			t.Fatalf("tenants %v, want %v", got, want)
		}
	}
}

// TestLog_Headers_OutlastRestartAndCompaction: a message keeps its headers after restarts and compaction, and they count in its cost.
func TestLog_Headers_OutlastRestartAndCompaction(t *testing.T) {
	dir := t.TempDir()
	log := open(t, dir, 1<<20)
	entry := &Entry{ID: "m", Front: "platform", Headers: []string{"X-Desk", "sports", "X-Empty", ""}}
	plain := (&Entry{ID: "m", Front: "platform"}).cost()
	if err := log.Accept(entry); err != nil {
		t.Fatal(err)
	}
	if more := entry.cost() - plain; more < int64(len("X-DesksportsX-Empty")) {
		t.Errorf("the headers add %d bytes to the cost, want their length at least", more)
	}
	_ = log.Flush()
	for range 2 { // the second time from a file that was compacted
		got := open(t, dir, 1<<20).Entries()
		if len(got) != 1 || !slices.Equal(got[0].Headers, entry.Headers) {
			t.Fatalf("the journal holds %+v, want one message with its headers", got)
		}
	}
}

// TestLog_WriteAndCompactionFail_NothingBehindTornRecord guards against records appended after a torn one: a write is cut short, the
// compaction that follows fails too, and later the disk works again. All that a successful Flush wrote must be read at the next start.
func TestLog_WriteAndCompactionFail_NothingBehindTornRecord(t *testing.T) {
	dir := t.TempDir()
	log := open(t, dir, 1<<20)
	accept(t, log, "a", 9)
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
	good := log.file
	torn, next := filepath.Join(dir, logName), filepath.Join(dir, nextName)
	b := accept(t, log, "b", 9)
	if _, err := good.Write(log.buf[:len(log.buf)/2]); err != nil { // the effect of a short write
		t.Fatal(err)
	}
	var err error
	if log.file, err = os.Open(torn); err != nil { // opened read-only: writes fail
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(next, "full"), 0o700); err != nil { // a folder in place of the new file: compaction fails
		t.Fatal(err)
	}
	for range 2 {
		if err := log.Flush(); err == nil {
			t.Fatal("Flush returned no error, but nothing could be written")
		}
		log.End(b) // as the core does: the client was told to retry
	}
	_ = log.file.Close()
	log.file = good
	if err := os.RemoveAll(next); err != nil {
		t.Fatal(err)
	}
	accept(t, log, "c", 9)
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, entry := range open(t, dir, 1<<20).Entries() {
		got = append(got, entry.ID)
	}
	if diff := cmp.Diff([]string{"a", "c"}, got); diff != "" {
		t.Fatal(diff)
	}
}

// TestLog_Killed_AttemptCountsIffStarted: after a kill, a message has an attempt if and only if the attempt's first byte may have been
// sent, whenever the process was killed and whether or not the log was compacted before.
func TestLog_Killed_AttemptCountsIffStarted(t *testing.T) {
	ran := func(log *Log, entry *Entry) {
		log.Schedule(entry, start, "a")
		begin(t, log, entry)
		log.EndAttempt(entry, false)
		_ = log.Flush()
		log.Schedule(entry, start.Add(time.Second), "b")
	}
	for _, attempt := range []struct {
		name string
		do   func(log *Log, entry *Entry)
		want Entry
	}{
		{"decided", func(log *Log, entry *Entry) { log.Schedule(entry, start, "a") }, Entry{}},
		{"started", func(log *Log, entry *Entry) { log.Schedule(entry, start, "a"); begin(t, log, entry) }, Entry{Attempts: 1, InFlight: true, LastAttemptAt: start, LastAttemptOn: "a"}},
		{"canceled before it started", func(log *Log, entry *Entry) {
			log.Schedule(entry, start, "a")
			log.EndAttempt(entry, true)
			_ = log.Flush()
		}, Entry{}},
		{"decided after an attempt that may have run", ran, Entry{Attempts: 1, MayHaveRun: true, MayHaveRunAt: start, MayHaveRunOn: "a", LastAttemptAt: start, LastAttemptOn: "a"}},
		{"started after an attempt that may have run", func(log *Log, entry *Entry) { ran(log, entry); begin(t, log, entry) },
			Entry{Attempts: 2, InFlight: true, MayHaveRun: true, MayHaveRunAt: start, MayHaveRunOn: "a", LastAttemptAt: start.Add(time.Second), LastAttemptOn: "b"}},
	} {
		for _, compacted := range []bool{false, true} {
			dir := t.TempDir()
			log := open(t, dir, 1<<20)
			entry := accept(t, log, "m", 9)
			_ = log.Flush()
			attempt.do(log, entry)
			if compacted {
				if err := log.compact(); err != nil {
					t.Fatal(err)
				}
			}
			killed := open(t, dir, 1<<20).Entries()[0]
			others := cmpopts.IgnoreFields(Entry{}, "Seq", "ID", "Key", "Front", "Destination", "Class", "Tenant", "Deadline", "Body", "loggedAttempts")
			want := attempt.want
			if compacted && !entry.InFlight && !entry.MayHaveRun { // compaction also writes a canceled attempt
				want.Attempts, want.LastAttemptAt, want.LastAttemptOn = 1, start, "a"
			}
			if d := cmp.Diff(&want, killed, others); d != "" {
				t.Errorf("%s, log compacted %v (-want +got)\n%s", attempt.name, compacted, d)
			}
		}
	}
}

// TestLog_CannotWrite_NothingBegins: no attempt begins that is not written to the log.
func TestLog_CannotWrite_NothingBegins(t *testing.T) {
	dir := t.TempDir()
	log := open(t, dir, 1<<20)
	first, ended, other := accept(t, log, "m", 9), accept(t, log, "over", 9), accept(t, log, "other", 9)
	_ = log.Flush()
	for _, entry := range []*Entry{first, ended, other} {
		log.Schedule(entry, start, "a")
	}
	if log.End(ended); log.Begin([]*Entry{ended}) {
		t.Error("an attempt begins for a message that has ended")
	}
	begin(t, log, ended, first) // one call may carry both messages: the other one has not ended
	good := log.file
	var err error
	if log.file, err = os.Open(filepath.Join(dir, logName)); err != nil { // opened read-only: writes fail
		t.Fatal(err)
	}
	if log.Begin([]*Entry{other}) {
		t.Error("an attempt begins that could not be written to the log")
	}
	_ = log.file.Close()
	if log.file = good; log.Begin([]*Entry{other}) {
		t.Error("an attempt begins after a record that may be torn")
	}
	accept(t, log, "next", 9)
	if err := log.Flush(); err != nil {
		t.Fatal(err)
	}
	begin(t, log, other)
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if log.Begin([]*Entry{first}) {
		t.Error("an attempt begins after the log was closed")
	}
	var inFlight []string
	for _, entry := range open(t, dir, 1<<20).Entries() {
		if entry.InFlight {
			inFlight = append(inFlight, entry.ID)
		}
	}
	if d := cmp.Diff([]string{"m", "other"}, inFlight); d != "" {
		t.Errorf("messages in flight when the process ended (-want +got)\n%s", d)
	}
}
