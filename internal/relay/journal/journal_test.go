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
	l, err := Open(dir, disk)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func take(t testing.TB, l *Log, id string, body int) *Entry {
	t.Helper()
	e := &Entry{ID: id, Key: "k-" + id, Front: "platform", Destination: 7, Class: 1, Deadline: start.Add(time.Second),
		Body: make([]byte, body)}
	if err := l.Accept(e); err != nil {
		t.Fatal(err)
	}
	return e
}

func begin(t testing.TB, l *Log, all ...*Entry) {
	t.Helper()
	if !l.Begin(all) {
		t.Fatal("an attempt may not begin")
	}
}

// history fills a log with messages in every state.
func history(t testing.TB, l *Log) {
	out, refused, ran, notified, over, acked := take(t, l, "out", 9), take(t, l, "refused", 9), take(t, l, "ran", 9),
		take(t, l, "notified", 9), take(t, l, "over", 9), take(t, l, "acked", 9)
	if err := l.Flush(); err != nil {
		t.Fatal(err)
	}
	l.Schedule(out, start, "a")
	begin(t, l, out)
	l.Schedule(refused, start, "a")
	begin(t, l, refused)
	l.EndAttempt(refused, true)
	l.Schedule(ran, start, "a")
	begin(t, l, ran)
	l.EndAttempt(ran, false)
	_ = l.Flush()
	l.Schedule(ran, start.Add(time.Second), "b")
	begin(t, l, ran)
	l.EndWithNotice(notified, Notice{HandedBack: true, RetryAfter: 500 * time.Millisecond})
	l.End(over)
	l.EndWithNotice(acked, Notice{})
	l.Ack(acked)
}

func TestLog_Reopened_HoldsEveryState(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, 1<<20)
	history(t, l)
	if err := l.Flush(); err != nil {
		t.Fatal(err)
	}
	want := l.Entries()
	if len(want) != 4 {
		t.Fatalf("%d entries are not over, want 4", len(want))
	}
	for _, step := range []string{"from the log as written", "from the compacted log"} {
		l := open(t, dir, 1<<20) // as after SIGKILL: the first is not closed
		if d := cmp.Diff(want, l.Entries(), cmpopts.IgnoreUnexported(Entry{})); d != "" {
			t.Errorf("%s (-want +got)\n%s", step, d)
		}
		if e := take(t, l, "next", 0); e.Seq != 7 && step == "from the log as written" {
			t.Errorf("a new message is number %d, want 7: a number must not be used again", e.Seq)
		}
	}
}

// TestLog_TornAtAnyByte_KeepsWhatStandsBefore guards against a kill in the middle of a write: what stands before it counts, at any length.
func TestLog_TornAtAnyByte_KeepsWhatStandsBefore(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, 1<<20)
	history(t, l)
	_ = l.Flush()
	whole, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil {
		t.Fatal(err)
	}
	most := 0
	for n := range len(whole) + 1 {
		torn := &Log{entries: map[uint64]*Entry{}}
		at := torn.replay(whole[:n])
		if at > n || at < most {
			t.Fatalf("%d bytes of %d are whole, and %d of fewer", at, n, most)
		}
		most = at
	}
	if most != len(whole) {
		t.Errorf("%d bytes of %d are whole", most, len(whole))
	}
	whole[len(whole)/2] ^= 1
	if at := (&Log{entries: map[uint64]*Entry{}}).replay(whole); at > len(whole)/2 {
		t.Errorf("a damaged record at %d was read past, to %d", len(whole)/2, at)
	}
}

// TestLog_FolderLimit_IsNeverExceeded guards against the folder's outgrowing its limit, which counts as a crash: also while the log is
// compacted, when two files stand.
func TestLog_FolderLimit_IsNeverExceeded(t *testing.T) {
	const disk = 512 << 10
	dir := t.TempDir()
	l := open(t, dir, disk)
	var held []*Entry
	full := 0
	for i := range 5000 {
		e := &Entry{ID: "m", Front: "platform", Body: make([]byte, i%4000)}
		if err := l.Accept(e); errors.Is(err, ErrFull) {
			full++
			for _, e := range held[:len(held)/2] {
				l.End(e)
			}
			held = held[len(held)/2:]
		} else if err != nil {
			t.Fatal(err)
		} else {
			l.Schedule(e, start, "a")
			held = append(held, e)
		}
		before := l.size
		if err := l.Flush(); err != nil {
			t.Fatal(err)
		}
		if n := len(held); n > 0 && held[n-1].Attempts > held[n-1].loggedAttempts {
			begin(t, l, held[n-1])
		}
		if most := max(before, l.size) + l.liveBytes + 2*blockSize; l.size < before && most > disk || l.size > disk {
			t.Fatalf("at message %d the folder may have held %d bytes of %d", i, most, disk)
		}
	}
	if full == 0 {
		t.Error("no message was ever refused")
	}
}

// TestLog_ThousandMessages_FitIntoThreeMegabytes guards against turning away what the folder has room for: on the busiest days a relay of 3 MB holds
// close to a thousand messages.
func TestLog_ThousandMessages_FitIntoThreeMegabytes(t *testing.T) {
	l := open(t, t.TempDir(), 3<<20)
	for i := range 1100 {
		if err := l.Accept(&Entry{ID: "9b1f03aa5c7e2d41", Key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Front: "platform",
			Body: make([]byte, 600)}); err != nil {
			t.Fatalf("message %d: %v", i, err)
		}
	}
}

func FuzzReplay(f *testing.F) {
	dir := f.TempDir()
	l := open(f, dir, 1<<20)
	history(f, l)
	_ = l.Flush()
	whole, _ := os.ReadFile(filepath.Join(dir, logName))
	f.Add(whole)
	f.Fuzz(func(t *testing.T, in []byte) {
		l := &Log{entries: map[uint64]*Entry{}}
		if at := l.replay(in); at > len(in) {
			t.Errorf("%d bytes of %d were read", at, len(in))
		}
		for payload := in; len(payload) > 0; payload = payload[1:] { // past the checksum too
			l.apply(payload)
		}
	})
}

// TestLog_Tenant_OutlastsRestartAndCompaction: whose a message is outlasts restarts and compaction. In a log of an older version nobody's is.
func TestLog_Tenant_OutlastsRestartAndCompaction(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, 1<<20)
	for _, tenant := range []int{-1, 0, 300} {
		if err := l.Accept(&Entry{ID: "m", Front: "platform", Tenant: tenant}); err != nil {
			t.Fatal(err)
		}
	}
	old := binary.AppendUvarint(appendText(appendText(appendText(nil, "old"), ""), "platform"), 7) // as it was written before
	old = binary.AppendUvarint(appendTime(binary.AppendUvarint(old, 1), start), 0)
	l.appendRecord(recordAccepted, 9, func(b []byte) []byte { return appendText(append(b, old...), "body") })
	if err := l.Flush(); err != nil {
		t.Fatal(err)
	}
	for range 2 { // the second time from a file that was compacted
		var got []int
		for _, e := range open(t, dir, 1<<20).Entries() {
			got = append(got, e.Tenant)
		}
		if want := []int{-1, 0, 300, -1}; !slices.Equal(got, want) {
			t.Fatalf("tenants %v, want %v", got, want)
		}
	}
}

// TestLog_Headers_OutlastRestartAndCompaction: headers that go out with a message outlast restarts and compaction, and count for the room it takes.
func TestLog_Headers_OutlastRestartAndCompaction(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, 1<<20)
	e := &Entry{ID: "m", Front: "platform", Headers: []string{"X-Desk", "sports", "X-Empty", ""}}
	plain := (&Entry{ID: "m", Front: "platform"}).cost()
	if err := l.Accept(e); err != nil {
		t.Fatal(err)
	}
	if more := e.cost() - plain; more < int64(len("X-DesksportsX-Empty")) {
		t.Errorf("the headers count for %d bytes", more)
	}
	_ = l.Flush()
	for range 2 { // the second time from a file that was compacted
		got := open(t, dir, 1<<20).Entries()
		if len(got) != 1 || !slices.Equal(got[0].Headers, e.Headers) {
			t.Fatalf("the journal holds %+v", got)
		}
	}
}

// A write is cut short and the compaction that follows fails too; later the disk works again. What Flush says is on disk
// must be read at the next start, and what it failed to write must not stand in the way.
func TestLog_WriteAndCompactionFail_NothingBehindTornRecord(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, 1<<20)
	take(t, l, "a", 9)
	if err := l.Flush(); err != nil {
		t.Fatal(err)
	}
	good := l.file
	torn, next := filepath.Join(dir, logName), filepath.Join(dir, nextName)
	b := take(t, l, "b", 9)
	if _, err := good.Write(l.buf[:len(l.buf)/2]); err != nil { // what a short write leaves
		t.Fatal(err)
	}
	var err error
	if l.file, err = os.Open(torn); err != nil { // can't be written to
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(next, "full"), 0o700); err != nil { // nor can a successor
		t.Fatal(err)
	}
	for range 2 {
		if err := l.Flush(); err == nil {
			t.Fatal("nothing could be written, and Flush returned no error")
		}
		l.End(b) // its client was told to come again
	}
	_ = l.file.Close()
	l.file = good
	if err := os.RemoveAll(next); err != nil {
		t.Fatal(err)
	}
	take(t, l, "c", 9)
	if err := l.Flush(); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range open(t, dir, 1<<20).Entries() {
		got = append(got, e.ID)
	}
	if diff := cmp.Diff([]string{"a", "c"}, got); diff != "" {
		t.Fatal(diff)
	}
}

// TestLog_Killed_AttemptCountsIffBegun: after a kill an attempt has been made if and only if its first byte may have been written, wherever the kill falls and
// whether or not the log was written anew meanwhile.
func TestLog_Killed_AttemptCountsIffBegun(t *testing.T) {
	ran := func(l *Log, e *Entry) {
		l.Schedule(e, start, "a")
		begin(t, l, e)
		l.EndAttempt(e, false)
		_ = l.Flush()
		l.Schedule(e, start.Add(time.Second), "b")
	}
	for _, c := range []struct {
		name string
		do   func(l *Log, e *Entry)
		want Entry
	}{
		{"decided", func(l *Log, e *Entry) { l.Schedule(e, start, "a") }, Entry{}},
		{"begun", func(l *Log, e *Entry) { l.Schedule(e, start, "a"); begin(t, l, e) }, Entry{Attempts: 1, InFlight: true, LastAttemptAt: start, LastAttemptOn: "a"}},
		{"called back before it began", func(l *Log, e *Entry) { l.Schedule(e, start, "a"); l.EndAttempt(e, true); _ = l.Flush() }, Entry{}},
		{"decided again after one that may have run", ran, Entry{Attempts: 1, MayHaveRun: true, MayHaveRunAt: start, MayHaveRunOn: "a", LastAttemptAt: start, LastAttemptOn: "a"}},
		{"begun again after one that may have run", func(l *Log, e *Entry) { ran(l, e); begin(t, l, e) },
			Entry{Attempts: 2, InFlight: true, MayHaveRun: true, MayHaveRunAt: start, MayHaveRunOn: "a", LastAttemptAt: start.Add(time.Second), LastAttemptOn: "b"}},
	} {
		for _, anew := range []bool{false, true} {
			dir := t.TempDir()
			l := open(t, dir, 1<<20)
			e := take(t, l, "m", 9)
			_ = l.Flush()
			c.do(l, e)
			if anew {
				if err := l.compact(); err != nil {
					t.Fatal(err)
				}
			}
			killed := open(t, dir, 1<<20).Entries()[0]
			all := cmpopts.IgnoreFields(Entry{}, "Seq", "ID", "Key", "Front", "Destination", "Class", "Tenant", "Deadline", "Body", "loggedAttempts")
			want := c.want
			if anew && !e.InFlight && !e.MayHaveRun { // one that was called back counts in the state, and so in a new file
				want.Attempts, want.LastAttemptAt, want.LastAttemptOn = 1, start, "a"
			}
			if d := cmp.Diff(&want, killed, all); d != "" {
				t.Errorf("%s, log written anew %v (-want +got)\n%s", c.name, anew, d)
			}
		}
	}
}

// TestLog_CannotWrite_NothingBegins: nothing begins that the log can't tell of.
func TestLog_CannotWrite_NothingBegins(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir, 1<<20)
	m, over, other := take(t, l, "m", 9), take(t, l, "over", 9), take(t, l, "other", 9)
	_ = l.Flush()
	for _, e := range []*Entry{m, over, other} {
		l.Schedule(e, start, "a")
	}
	if l.End(over); l.Begin([]*Entry{over}) {
		t.Error("a message that is over begins an attempt")
	}
	begin(t, l, over, m) // one call may carry both: the one that is not over counts
	good := l.file
	var err error
	if l.file, err = os.Open(filepath.Join(dir, logName)); err != nil { // can't be written to
		t.Fatal(err)
	}
	if l.Begin([]*Entry{other}) {
		t.Error("an attempt begins that is not on disk")
	}
	_ = l.file.Close()
	if l.file = good; l.Begin([]*Entry{other}) {
		t.Error("an attempt begins behind a record that may be torn")
	}
	take(t, l, "next", 9)
	if err := l.Flush(); err != nil {
		t.Fatal(err)
	}
	begin(t, l, other)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if l.Begin([]*Entry{m}) {
		t.Error("an attempt begins after the log was closed")
	}
	var out []string
	for _, e := range open(t, dir, 1<<20).Entries() {
		if e.InFlight {
			out = append(out, e.ID)
		}
	}
	if d := cmp.Diff([]string{"m", "other"}, out); d != "" {
		t.Errorf("out when the process ended (-want +got)\n%s", d)
	}
}
