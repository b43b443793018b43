package storage

import (
	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// Open recovers a group from its files, or makes them if there are none. The snapshot comes without its state, which ReadChunks
// reads. It returns once all that it recovered lasts, also what an earlier process had written and not synced. The error is a CorruptError when something that had been synced is
// damaged or missing.
func Open(disk Disk, group string) (*Group, replica.Recovered, error) {
	if err := checkGroupName(group); err != nil {
		return nil, replica.Recovered{}, trace.Wrap(err)
	}
	names, err := disk.List()
	if err != nil {
		return nil, replica.Recovered{}, trace.Wrap(err)
	}
	recovery := recovery{disk: disk, name: group, files: list(names, group)}
	g, err := recovery.run()
	if err != nil {
		recovery.close()
		return nil, replica.Recovered{}, trace.Wrap(err)
	}
	return g, recovery.contents.Recovered, nil
}

// recovery is the work of Open.
type recovery struct {
	disk     Disk
	name     string
	files    listing
	slots    [2]slotReader
	contents contents
	layout   slotLayout // of the slot that the log follows
	log      File       // of the generation that is recovered
}

// logContent is what a log was read to hold.
type logContent struct {
	file   File
	frames []frame
	end    int64 // of the whole frames
	torn   bool
}

// run finds the newest log that was begun and recovers it with its slot.
func (r *recovery) run() (*Group, error) {
	if err := r.readSlots(); err != nil {
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
		_ = log.file.Close() // what is left of a compaction or of the first start
		r.log = nil
	}
	return r.create()
}

// create makes the first log, unless something had been there.
func (r *recovery) create() (*Group, error) {
	if r.files.hasSlot() {
		return nil, &CorruptError{File: fileName(r.name, slotPrefix), Reason: "there are slots without a log"}
	}
	for _, generation := range r.files.logs {
		if generation > 0 {
			return nil, &CorruptError{File: fileName(r.name, logName(generation)), Reason: "there is a later log without a first one"}
		}
	}
	g := &Group{disk: r.disk, name: r.name}
	return g, g.beginLog(0, nil)
}

// readSlots reads of which generation the slots are.
func (r *recovery) readSlots() error {
	for i := range slotNames {
		r.slots[i].slot = i
		if !r.files.slots[i] {
			continue
		}
		err := r.withSlot(i, func(file File) error {
			reader, err := newFrameReader(file, true)
			if err != nil {
				return err
			}
			first, whole, err := reader.next()
			if whole {
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

// withSlot opens a slot while it is read.
func (r *recovery) withSlot(slot int, read func(file File) error) error {
	file, err := r.disk.Open(fileName(r.name, slotNames[slot]))
	if err != nil {
		return err
	}
	defer file.Close()
	return read(file)
}

// readLog reads a log and finds where its whole frames end.
func (r *recovery) readLog(generation uint64) (logContent, error) {
	name := fileName(r.name, logName(generation))
	file, err := r.disk.Open(name)
	if err != nil {
		return logContent{}, err
	}
	r.log = file
	reader, err := newFrameReader(file, false)
	if err != nil {
		return logContent{}, err
	}
	var frames []frame
	for {
		end := reader.offset
		next, whole, err := reader.next()
		if err != nil {
			return logContent{}, err
		}
		if !whole || next.generation != generation || next.sequence != uint64(len(frames)) {
			reader.offset = end
			break
		}
		frames = append(frames, next)
	}
	rest, err := reader.rest()
	if err != nil {
		return logContent{}, err
	}
	if findFrame(rest, generation) {
		return logContent{}, &CorruptError{File: name, Offset: reader.offset, Reason: "a frame is damaged, and one behind it is whole"}
	}
	return logContent{file: file, frames: frames, end: reader.offset, torn: len(rest) > 0}, nil
}

// recover folds a log onto its slot and makes the log ready to be written. Older and newer logs are removed.
func (r *recovery) recover(generation uint64, log *logContent, older, newer []uint64) (*Group, error) {
	if err := r.foldSlot(generation); err != nil {
		return nil, err
	}
	if err := r.foldLog(generation, log.frames); err != nil {
		return nil, err
	}
	if err := r.settle(log); err != nil {
		return nil, err
	}
	for _, stale := range append(newer[:len(newer):len(newer)], older...) {
		if err := r.disk.Remove(fileName(r.name, logName(stale))); err != nil {
			return nil, err
		}
	}
	return &Group{disk: r.disk, name: r.name, log: log.file, logBytes: log.end, generation: generation,
		sequence: uint64(len(log.frames)), newest: r.newest(), layout: r.layout, slotLasts: r.files.slots,
		promise: r.contents.HardState, base: r.contents.base(), last: r.contents.last()}, nil
}

// foldSlot folds in the slot that a generation's log follows.
func (r *recovery) foldSlot(generation uint64) error {
	if generation == 0 {
		return nil
	}
	for i := range r.slots {
		if r.slots[i].generation != generation {
			continue
		}
		return r.withSlot(i, func(file File) error { return r.foldWhole(&r.slots[i], file) })
	}
	return &CorruptError{File: fileName(r.name, slotPrefix), Reason: "no slot is of the log's generation"}
}

// foldWhole folds in a slot, which has to be whole.
func (r *recovery) foldWhole(slot *slotReader, file File) error {
	layout, last, whole, err := slot.read(file)
	if err != nil {
		return err
	}
	damage := &CorruptError{File: fileName(r.name, slotNames[slot.slot]), Reason: "the slot is not whole"}
	if !whole {
		return damage
	}
	if err := r.contents.fold(last); err != nil {
		damage.Reason = err.Error()
		return damage
	}
	if r.contents.Snapshot == nil || r.contents.Snapshot.Chunks != len(layout.offsets) {
		damage.Reason = "the slot does not hold the parts that it states"
		return damage
	}
	r.layout = layout
	return nil
}

// foldLog folds in the frames of a log.
func (r *recovery) foldLog(generation uint64, frames []frame) error {
	offset := int64(0)
	for i := range frames {
		if err := r.contents.fold(frames[i].payload); err != nil {
			return &CorruptError{File: fileName(r.name, logName(generation)), Offset: offset, Reason: err.Error()}
		}
		offset += frames[i].size()
	}
	return nil
}

// settle cuts a torn end off and returns once the log and all names last. The slot of a log that was begun lasts already.
func (r *recovery) settle(log *logContent) error {
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

// newest returns the highest generation that any file bears.
func (r *recovery) newest() uint64 {
	newest := max(r.slots[0].generation, r.slots[1].generation)
	for _, generation := range r.files.logs {
		newest = max(newest, generation)
	}
	return newest
}

// close gives up the log that was open when recovery failed.
func (r *recovery) close() {
	if r.log != nil {
		_ = r.log.Close()
	}
}
