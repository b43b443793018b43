package capture

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/control"
)

var testLimits = Limits{Queue: 1 << 12, Chunk: 4 << 10, Within: time.Hour, FileSize: 1 << 30, DirSize: 1 << 32}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// TestSnapshot_RestoredAtAnyTurn_DecidesTheSame: a sender restored at any turn, from the bytes of a snapshot, decides as the one that went on, for the
// rest of the run.
func TestSnapshot_RestoredAtAnyTurn_DecidesTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		mod, err := control.New(settings(), 5)
		if err != nil {
			t.Fatal(err)
		}
		turns := rapid.IntRange(1, 300).Draw(t, "turns")
		at := rapid.IntRange(0, turns).Draw(t, "at")
		var twin *control.Sender
		for no := range turns + 100 {
			if no == at {
				text, err := cbor.Marshal(mod.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				var x control.Snapshot
				if err = cbor.Unmarshal(text, &x); err != nil {
					t.Fatal(err)
				}
				if twin, err = control.Restore(settings(), &x); err != nil {
					t.Fatal(err)
				}
			}
			now, in := w.turn(no)
			got := mod.Step(now, in, nil)
			if twin != nil {
				if d := cmp.Diff(got, twin.Step(now, in, nil)); d != "" {
					t.Fatalf("turn %d, restored at %d (-went on +restored)\n%s", no, at, d)
				}
			}
			w.apply(got)
		}
		if d := cmp.Diff(mod.Snapshot(), twin.Snapshot()); d != "" {
			t.Fatalf("the states differ in the end: %s", d)
		}
	})
}

// play records a run of a world and returns the recorder's folder.
func recordWorld(t testing.TB, seed uint64, turns int, lim Limits, from int) (dir string, r *Recorder) {
	t.Helper()
	dir = t.TempDir()
	mod, err := control.New(settings(), 5)
	if err != nil {
		t.Fatal(err)
	}
	if r, err = New(dir, Begin{Relay: "test", Seed: 5, Settings: settings()}, lim, quiet); err != nil {
		t.Fatal(err)
	}
	w := newWorld(seed)
	for no := range turns {
		now, in := w.turn(no)
		if no >= from && r.WantsState() {
			r.State(mod.Snapshot(), nil, []Name{{1, "platform", "s-1"}}, nil)
		}
		for _, e := range in {
			if e.Kind == control.Arrived && no >= from {
				r.Message(Message{e.ID, "platform", fmt.Sprint("m-", e.ID)})
			}
		}
		out := mod.Step(now, in, nil)
		if no >= from {
			r.Turn(now, in, out)
			r.Tick(time.Now())
		}
		w.apply(out)
	}
	r.Close()
	if err := r.Err(); err != nil {
		t.Fatal(err)
	}
	return dir, r
}

func one(t testing.TB, dir string) []byte {
	t.Helper()
	files, err := Files(dir)
	if err != nil || len(files) != 1 {
		t.Fatalf("%v, %v", files, err)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func replayed(text []byte, o Options) (*Result, error) {
	r, err := NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	return Replay(r, o)
}

// TestReplay_TenTimes_DecidesTheSame: a capture of a troubled run, from its start or from its middle, replays the same ten times.
func TestReplay_TenTimes_DecidesTheSame(t *testing.T) {
	for _, from := range []int{0, 700} {
		dir, _ := recordWorld(t, 3, 1500, testLimits, from)
		text := one(t, dir)
		for range 10 {
			res, err := replayed(text, Options{})
			if err != nil || res.Turns != 1500-from || res.Torn != nil {
				t.Fatalf("%+v, %v", res, err)
			}
		}
	}
}

// TestReplay_AlteredRecord_IsFoundAndExplained: what was recorded otherwise is found in its turn, and explained.
func TestReplay_AlteredRecord_IsFoundAndExplained(t *testing.T) {
	dir, _ := recordWorld(t, 3, 400, testLimits, 0)
	text := one(t, dir)
	r, err := NewReader(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	var altered bytes.Buffer
	altered.Write(fileHeader())
	c, _ := newChunker()
	want := uint64(0)
	err = r.Each(func(record any) error {
		if turn, ok := record.(*Turn); ok && turn.No > 200 && want == 0 && len(turn.Actions) > 0 && turn.Actions[0].Kind == control.Send {
			turn.Actions[0].For++
			want = turn.No
		}
		kind, _ := typeOf(record)
		return c.add(kind, record)
	})
	if err == nil {
		err = c.flushTo(&altered)
	}
	if err != nil || want == 0 {
		t.Fatal(err, want)
	}
	_, err = replayed(altered.Bytes(), Options{})
	var d *DifferenceError
	if !errors.As(err, &d) || d.Turn.No != want || len(d.State) < 2 {
		t.Errorf("%v, want a difference in turn %d that is explained: %+v", err, want, d)
	}
}

// TestReader_CutAtAnyByte_ReadsCompleteChunks: a capture cut off at any byte is read up to its last whole chunk, and what is read replays.
func TestReader_CutAtAnyByte_ReadsCompleteChunks(t *testing.T) {
	lim := testLimits
	lim.Chunk = 1 << 10
	dir, _ := recordWorld(t, 4, 40, lim, 0)
	text := one(t, dir)
	last := 0
	for n := range text {
		res, err := replayed(text[:n], Options{})
		if n < fileHead {
			if err == nil {
				t.Fatalf("%d bytes are taken for a capture", n)
			}
			continue
		}
		if res.Turns < last || (err != nil) != (res.Turns == 0) {
			t.Fatalf("cut at %d: %d turns, %v", n, res.Turns, err)
		}
		last = res.Turns
	}
	for n := fileHead; n < len(text); n += 7 { // a byte that has changed hides the rest and no more
		bad := slices.Clone(text)
		bad[n] ^= 1
		if res, _ := replayed(bad, Options{}); res.Torn == nil || res.Turns > 40 {
			t.Fatalf("byte %d: %+v", n, res)
		}
	}
}

func TestReader_OtherVersions(t *testing.T) {
	dir, _ := recordWorld(t, 4, 50, testLimits, 0)
	text := one(t, dir)
	later := slices.Clone(text)
	later[4] = Major + 1
	if _, err := replayed(later, Options{}); !errors.Is(err, ErrVersion) || !strings.Contains(err.Error(), fmt.Sprint(Major+1)) {
		t.Errorf("another major version: %v", err)
	}
	// A later minor version, with a record type that is not known yet.
	minor := slices.Clone(text)
	minor[5] = 9
	c, _ := newChunker()
	_ = c.add(23, map[int]string{1: "news"})
	b, _ := c.pack(&c.block)
	r, err := NewReader(bytes.NewReader(append(minor, b...)))
	if err != nil {
		t.Fatal(err)
	}
	if res, err := Replay(r, Options{}); err != nil || res.Turns != 50 || r.Skipped != 1 {
		t.Errorf("%+v, %v, %d skipped", res, err, r.Skipped)
	}
}

// TestRecorder_SlowWriter_LosesTurnsAndNeverBlocks: a writer that can't keep up loses turns and never makes the core wait; a replay stops there, and goes on at
// the next state if it is told to.
func TestRecorder_SlowWriter_LosesTurnsAndNeverBlocks(t *testing.T) {
	mod, _ := control.New(settings(), 5)
	lim := testLimits
	lim.Queue, lim.Chunk = 3, 1<<10
	r, w, err := build(t.TempDir(), Begin{Seed: 5, Settings: settings()}, lim, quiet, create)
	if err != nil {
		t.Fatal(err)
	}
	drain := func() {
		for len(r.batches) > 0 {
			b := <-r.batches
			if err := w.writeBatch(b); err != nil {
				t.Fatal(err)
			}
			r.giveBack(b)
		}
	}
	world := newWorld(3)
	for no := range 300 {
		if no < 100 || no >= 200 { // in between the writer hangs
			drain()
		}
		now, in := world.turn(no)
		if r.WantsState() {
			r.State(mod.Snapshot(), nil, nil, nil)
		}
		out := mod.Step(now, in, nil)
		r.Turn(now, in, out)
		r.Tick(time.Now())
		world.apply(out)
	}
	r.send()
	drain()
	text := one(t, r.dir)
	lost := int(r.Lost.Load())
	if lost < 30 || lost > 100 {
		t.Errorf("%d turns lost", lost)
	}
	if res, err := replayed(text, Options{}); !errors.Is(err, ErrGap) || res.Turns < 100 {
		t.Errorf("%d turns, then %v; want the gap", res.Turns, err)
	}
	if res, err := replayed(text, Options{PastGap: true}); err != nil || res.Turns != 300-lost || res.Gaps != 1 {
		t.Errorf("%+v, %v; want 300 less %d turns", res, err, lost)
	}
}

// TestRecorder_DirSize_OldestFilesGoFirst: files follow one another, each stands for itself, and the oldest go first.
func TestRecorder_DirSize_OldestFilesGoFirst(t *testing.T) {
	for _, size := range []int64{16 << 10, 1 << 10} { // a file of the smaller size is over it with its first state
		ring(t, size)
	}
}

func ring(t *testing.T, size int64) {
	t.Helper()
	lim := testLimits
	lim.FileSize, lim.DirSize = size, 80<<10
	dir, r := recordWorld(t, 5, 6000, lim, 0)
	files, _ := Files(dir)
	total := int64(0)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		total += int64(len(text))
		if res, err := replayed(text, Options{}); err != nil || res.Turns == 0 {
			t.Errorf("%s: %v", file, err)
		}
	}
	if len(files) < 2 || total > lim.DirSize || r.Bytes.Load() < 2*lim.DirSize || r.Lost.Load() != 0 {
		t.Errorf("%d files of %d bytes, of %d written; %d turns lost", len(files), total, r.Bytes.Load(), r.Lost.Load())
	}
}

// TestRecorder_FullDisk_EndsCleanly: when nothing can be written any more the capture ends cleanly, and whoever hands in turns goes on.
func TestRecorder_FullDisk_EndsCleanly(t *testing.T) {
	dir := t.TempDir()
	disk := &fullDisk{left: 20 << 10}
	r, err := open(dir, Begin{Settings: settings()}, Limits{Queue: 1 << 12, Chunk: 1 << 10, Within: time.Hour, FileSize: 1 << 20, DirSize: 1 << 30}, quiet, disk.create)
	if err != nil {
		t.Fatal(err)
	}
	mod, _ := control.New(settings(), 1)
	world := newWorld(1)
	full := func() bool { return r.Err() != nil }
	for no := 0; no < 200000 && !full(); no++ {
		now, in := world.turn(no)
		if r.WantsState() {
			r.State(mod.Snapshot(), nil, nil, nil)
		}
		out := mod.Step(now, in, nil)
		r.Turn(now, in, out)
		r.Tick(time.Now())
		world.apply(out)
	}
	r.Close()
	if !full() {
		t.Error("nobody was told")
	}
	if res, err := replayed(one(t, dir), Options{}); err != nil || res.Turns == 0 || res.Torn != nil {
		t.Errorf("what was written before: %+v, %v", res, err)
	}
}

// fullDisk takes so many bytes, and of the write that is too much a part.
type fullDisk struct{ left int }

type fullFile struct {
	*os.File
	disk *fullDisk
}

func (d *fullDisk) create(name string) (file, error) {
	f, err := os.Create(name)
	return fullFile{f, d}, err
}

func (f fullFile) Write(b []byte) (int, error) {
	if n := f.disk.left; n < len(b) {
		f.disk.left = 0
		n, _ = f.File.Write(b[:n])
		return n, errors.New("no space left on device")
	}
	f.disk.left -= len(b)
	return f.File.Write(b)
}

// TestWindow_StandsForItself: a window stands for itself.
func TestWindow_StandsForItself(t *testing.T) {
	dir, _ := recordWorld(t, 6, 1000, testLimits, 0)
	r, _ := NewReader(bytes.NewReader(one(t, dir)))
	var part bytes.Buffer
	turns, err := Window(r, &part, 5*time.Second, 9*time.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := replayed(part.Bytes(), Options{})
	if err != nil || res.Turns != turns || turns < 50 || res.Last-res.First > 4*time.Second {
		t.Errorf("%d turns: %+v, %v", turns, res, err)
	}
}

// TestStory_OneMessage: one message's way is told from its arrival to its end.
func TestStory_OneMessage(t *testing.T) {
	dir, _ := recordWorld(t, 6, 600, testLimits, 0)
	r, _ := NewReader(bytes.NewReader(one(t, dir)))
	lines, err := Story(r, "m-20")
	text := strings.Join(lines, "\n")
	if err != nil || !strings.Contains(text, "m-20 arrives") {
		t.Errorf("%v\n%s", err, text)
	}
	r, _ = NewReader(bytes.NewReader(one(t, dir)))
	if _, err := Story(r, "nobody"); err == nil {
		t.Error("a message that was never there has a story")
	}
}

// TestReplay_OtherSettings_CountsDifferences: under other settings differences are counted, and do not end the replay.
func TestReplay_OtherSettings_CountsDifferences(t *testing.T) {
	dir, _ := recordWorld(t, 6, 600, testLimits, 0)
	set := settings()
	set.Slots = 2
	res, err := replayed(one(t, dir), Options{Settings: &set})
	if err != nil || res.Differ == 0 || res.Turns != 600 {
		t.Errorf("%+v, %v", res, err)
	}
}

// TestReplay_Corpus_DecidesTheSame replays the captures of past troubles: each is a decision that must stay as it is, or be changed knowingly.
func TestReplay_Corpus_DecidesTheSame(t *testing.T) {
	files, _ := filepath.Glob("testdata/*" + Ext)
	if len(files) == 0 {
		t.Fatal("the corpus is not there")
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := replayed(text, Options{}); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// TestReader_OlderMinorVersion_IsReadComplete: captures by an older minor version are read whole, and replay where the module decides as it did then: most
// of the corpus was written by version 1.0.
func TestReader_OlderMinorVersion_IsReadComplete(t *testing.T) {
	files, _ := filepath.Glob("testdata/*" + Ext)
	older := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		r, err := NewReader(bytes.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		if r.Minor < Minor {
			if _, err := Replay(r, Options{}); err != nil {
				t.Errorf("%s, of version %d.%d: %v", file, Major, r.Minor, err)
			}
			older++
		}
	}
	if older == 0 {
		t.Error("no capture of the corpus is older than this program")
	}
}

// TestIndex_EarlierChunksDamaged_AreNotRead: a message's story and a window are told from the last state before them: what stands earlier is not read,
// and may be damaged.
func TestIndex_EarlierChunksDamaged_AreNotRead(t *testing.T) {
	mod, _ := control.New(settings(), 5)
	c, _ := newChunker()
	var file bytes.Buffer
	file.Write(fileHeader())
	put := func(kind Type, record any) {
		if err := c.add(kind, record); err != nil {
			t.Fatal(err)
		}
	}
	put(TypeBegin, &Begin{Relay: "test", Seed: 5, Settings: settings()})
	put(TypeState, &State{mod.Snapshot()})
	w := newWorld(9)
	damage, start, middle := 0, time.Duration(0), time.Duration(0)
	for no := range 600 {
		if no == 100 {
			_ = c.flushTo(&file)
			damage = file.Len() + chunkHead + 200
		}
		now, in := w.turn(no)
		if no == 0 {
			start = now
		}
		if no == 300 {
			_ = c.flushTo(&file)
			middle = now - start
			put(TypeState, &State{mod.Snapshot()})
		}
		for _, e := range in {
			if e.Kind == control.Arrived {
				put(TypeMessage, &Message{e.ID, "platform", fmt.Sprint("m-", e.ID)})
			}
		}
		out := mod.Step(now, in, nil)
		put(TypeTurn, &Turn{uint64(no + 1), now, in, out})
		w.apply(out)
	}
	_ = c.flushTo(&file)
	text := file.Bytes()
	text[damage] ^= 1
	reader := func() *Reader {
		r, err := NewReader(bytes.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if index, err := reader().Index(); err != nil || len(index) != 3 || !index[2].State || index[1].Turns != 200 {
		t.Fatalf("%+v, %v", index, err)
	}
	late := fmt.Sprint("m-", w.lastRef-20)
	if lines, err := Story(reader(), late); err != nil || !strings.Contains(strings.Join(lines, "\n"), late+" arrives") {
		t.Errorf("%v\n%s", err, strings.Join(lines, "\n"))
	}
	if _, err := Story(reader(), "m-3"); err != nil { // before the damage
		t.Error(err)
	}
	var part bytes.Buffer
	turns, err := Window(reader(), &part, middle+time.Second, middle+3*time.Second, nil)
	if err != nil || turns < 20 {
		t.Fatalf("%d turns, %v", turns, err)
	}
	if res, err := replayed(part.Bytes(), Options{}); err != nil || res.Turns != turns {
		t.Errorf("%+v, %v", res, err)
	}
	if res, err := replayed(text, Options{}); err != nil || res.Turns != 100 || res.Torn == nil {
		t.Errorf("all of it: %+v, %v; want it read up to the damage", res, err)
	}
}
