package storage

import "github.com/gravitational/trace"

// HasSnapshot reports whether Open would recover a snapshot of a group, which includes the group's members. If the newest log has a
// generation above 0 and its first frame is intact, HasSnapshot reads only that frame. Otherwise it opens the group and may return
// the errors of Open.
func HasSnapshot(disk Disk, group string) (bool, error) {
	names, err := disk.List()
	if err != nil {
		return false, trace.Wrap(err)
	}
	if logs := findGroupFiles(names, group).logs; len(logs) > 0 && logs[0] > 0 {
		found, frameErr := hasFirstFrame(disk, fileName(group, logSuffix(logs[0])), logs[0])
		if frameErr != nil || found {
			return found, trace.Wrap(frameErr)
		}
	}
	opened, recovered, err := Open(disk, group)
	if err != nil {
		return false, err
	}
	return recovered.Snapshot != nil, opened.Close()
}

// hasFirstFrame reports whether the first frame of a generation's log is intact.
func hasFirstFrame(disk Disk, name string, generation uint64) (bool, error) {
	file, err := disk.Open(name)
	if err != nil {
		return false, err
	}
	defer file.Close()
	reader, err := newFrameReader(file, true)
	if err != nil {
		return false, err
	}
	first, intact, err := reader.next()
	return intact && first.generation == generation && first.sequence == 0, err
}
