package storage

import (
	"fmt"

	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// Open recovers a group from its files, or creates them if there are none. The recovered snapshot lacks its state, which ReadChunks
// reads. Open returns once everything that it recovered is durable, including data that an earlier process had written but not
// synced: a member must not act on data that a power loss could still destroy.
//
// The error is trace.BadParameter if the group's name can't be the prefix of a file name, a CorruptError if synced data is damaged or
// missing, or else the disk's.
func Open(disk Disk, group string) (*Group, replica.Recovered, error) {
	if err := checkGroupName(group); err != nil {
		return nil, replica.Recovered{}, trace.Wrap(err)
	}
	names, err := disk.List()
	if err != nil {
		return nil, replica.Recovered{}, trace.Wrap(err)
	}
	recovery := recovery{disk: disk, name: group, files: findGroupFiles(names, group)}
	g, err := recovery.run()
	if err != nil {
		recovery.close()
		return nil, replica.Recovered{}, trace.Wrap(err)
	}
	return g, recovery.state.Recovered, nil
}

// recovery is the state of one call of Open.
type recovery struct {
	disk   Disk
	name   string
	files  groupFiles
	slots  [2]slotReader
	state  replayState
	active slotLayout // of the slot that the log follows
	log    File       // the log that is being read, or was selected
}

// logContent is the content of a log.
type logContent struct {
	file   File
	frames []frame // intact frames from the start of the log
	end    int64   // offset after these frames
	torn   bool    // whether other bytes follow them
}

// run finds the newest log with an intact first frame and recovers it with its slot.
func (r *recovery) run() (*Group, error) {
	if err := r.readSlotGenerations(); err != nil {
		return nil, err
	}
	for i, generation := range r.files.logs {
		log, err := r.readLog(generation)
		if err != nil {
			return nil, err
		}
		if len(log.frames) > 0 {
			return r.recover(generation, &log, r.files.logs[i+1:], r.files.logs[:i])
		}
		_ = log.file.Close() // left over from an interrupted compaction or first start
		r.log = nil
	}
	return r.create()
}

// create creates the first log, or returns a CorruptError if existing files show that the group had saved something.
func (r *recovery) create() (*Group, error) {
	if r.files.hasSlot() {
		return nil, &CorruptError{File: fileName(r.name, slotPrefix), Reason: "a slot exists, but no log with an intact first frame"}
	}
	for _, generation := range r.files.logs {
		if generation > 0 {
			return nil, &CorruptError{File: fileName(r.name, logSuffix(generation)), Reason: "the log has a generation above 0, but no slot exists"}
		}
	}
	g := &Group{disk: r.disk, name: r.name}
	return g, g.createLog(0, nil)
}

// readSlotGenerations reads the generations of the slots from their first frames.
func (r *recovery) readSlotGenerations() error {
	for i := range slotSuffixes {
		r.slots[i].slot = i
		if !r.files.slots[i] {
			continue
		}
		err := r.withSlot(i, func(file File) error {
			reader, err := newFrameReader(file, true)
			if err != nil {
				return err
			}
			first, intact, err := reader.next()
			if intact {
				r.slots[i].generation = first.generation
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// withSlot opens a slot's file, calls read with it and closes it.
func (r *recovery) withSlot(slot int, read func(file File) error) error {
	file, err := r.disk.Open(fileName(r.name, slotSuffixes[slot]))
	if err != nil {
		return err
	}
	defer file.Close()
	return read(file)
}

// readLog reads a log and finds the end of its intact frames. It returns a CorruptError if an intact frame follows a damaged one.
func (r *recovery) readLog(generation uint64) (logContent, error) {
	name := fileName(r.name, logSuffix(generation))
	file, err := r.disk.Open(name)
	if err != nil {
		return logContent{}, err
	}
	r.log = file
	reader, err := newFrameReader(file, false)
	if err != nil {
		return logContent{}, err
	}
	frames, err := readLogFrames(reader, generation)
	if err != nil {
		return logContent{}, err
	}
	rest, err := reader.rest()
	if err != nil {
		return logContent{}, err
	}
	if containsFrame(rest, generation) {
		return logContent{}, &CorruptError{File: name, Offset: reader.offset, Reason: "a damaged frame is followed by an intact one"}
	}
	return logContent{file: file, frames: frames, end: reader.offset, torn: len(rest) > 0}, nil
}

// readLogFrames reads frames up to the first one that is damaged, of another generation or out of sequence, and leaves the reader's
// offset there.
func readLogFrames(reader *frameReader, generation uint64) ([]frame, error) {
	var frames []frame
	for {
		end := reader.offset
		next, intact, err := reader.next()
		if err != nil {
			return nil, err
		}
		if !intact || next.generation != generation || next.sequence != uint64(len(frames)) {
			reader.offset = end
			return frames, nil
		}
		frames = append(frames, next)
	}
}

// recover replays the slot of a generation and its log, makes them durable and returns a Group that appends to the log. It removes
// the older and newer logs.
func (r *recovery) recover(generation uint64, log *logContent, older, newer []uint64) (*Group, error) {
	if err := r.replaySlotOf(generation); err != nil {
		return nil, err
	}
	if err := r.replayLog(generation, log.frames); err != nil {
		return nil, err
	}
	if err := r.makeDurable(log); err != nil {
		return nil, err
	}
	for _, stale := range append(newer[:len(newer):len(newer)], older...) {
		if err := r.disk.Remove(fileName(r.name, logSuffix(stale))); err != nil {
			return nil, err
		}
	}
	return &Group{disk: r.disk, name: r.name, log: log.file, logBytes: log.end, generation: generation,
		sequence: uint64(len(log.frames)), maxGeneration: r.maxGeneration(), active: r.active, slotNameDurable: r.files.slots,
		hardState: r.state.HardState, snapshotIndex: r.state.snapshotIndex(), lastIndex: r.state.lastIndex()}, nil
}

// replaySlotOf replays the slot of a generation. Generation 0 has none.
func (r *recovery) replaySlotOf(generation uint64) error {
	if generation == 0 {
		return nil
	}
	for i := range r.slots {
		if r.slots[i].generation == generation {
			return r.withSlot(i, func(file File) error { return r.replaySlot(&r.slots[i], file) })
		}
	}
	return &CorruptError{File: fileName(r.name, slotPrefix), Reason: "no slot has the log's generation"}
}

// replaySlot replays a slot. The slot must be complete, since its log was created only after the slot had been synced.
func (r *recovery) replaySlot(slot *slotReader, file File) error {
	layout, last, complete, err := slot.read(file)
	if err != nil {
		return err
	}
	damage := &CorruptError{File: fileName(r.name, slotSuffixes[slot.slot]), Reason: "incomplete slot"}
	if !complete {
		return damage
	}
	if err := r.state.replay(last); err != nil {
		damage.Reason = err.Error()
		return damage
	}
	if r.state.Snapshot == nil || r.state.Snapshot.Chunks != len(layout.offsets) {
		damage.Reason = fmt.Sprintf("the slot's %d chunks are not the number in its metadata", len(layout.offsets))
		return damage
	}
	r.active = layout
	return nil
}

// replayLog replays the frames of a log.
func (r *recovery) replayLog(generation uint64, frames []frame) error {
	offset := int64(0)
	for i := range frames {
		if err := r.state.replay(frames[i].payload); err != nil {
			return &CorruptError{File: fileName(r.name, logSuffix(generation)), Offset: offset, Reason: err.Error()}
		}
		offset += frames[i].size()
	}
	return nil
}

// makeDurable truncates a torn write, and returns once the log and all file names are durable. The slot needs no sync, because it was
// synced before the log's first frame was written.
func (r *recovery) makeDurable(log *logContent) error {
	if log.torn {
		if err := log.file.Truncate(log.end); err != nil {
			return err
		}
	}
	if err := log.file.Sync(); err != nil {
		return err
	}
	return r.disk.SyncDir()
}

// maxGeneration returns the highest generation of any file.
func (r *recovery) maxGeneration() uint64 {
	highest := max(r.slots[0].generation, r.slots[1].generation)
	for _, generation := range r.files.logs {
		highest = max(highest, generation)
	}
	return highest
}

// close closes the open log, if any, after recovery has failed.
func (r *recovery) close() {
	if r.log != nil {
		_ = r.log.Close()
	}
}
