package storage

import "github.com/gravitational/trace"

// HasSnapshot tells whether a group's log follows a snapshot, as Open would find: whether it knows the group's members. Where its
// newest log was begun, it reads the first frame of that and no more. Else, after a compaction that was cut short and where the
// disk is damaged, it finds what Open finds.
func HasSnapshot(disk Disk, group string) (bool, error) {
	names, err := disk.List()
	if err != nil {
		return false, trace.Wrap(err)
	}
	if logs := list(names, group).logs; len(logs) > 0 && logs[0] > 0 {
		begun, err := hasFirstFrame(disk, fileName(group, logName(logs[0])), logs[0])
		if err != nil || begun {
			return begun, trace.Wrap(err)
		}
	}
	opened, recovered, err := Open(disk, group)
	if err != nil {
		return false, err
	}
	return recovered.Snapshot != nil, opened.Close()
}

// hasFirstFrame tells whether a log of that generation was begun.
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
	first, whole, err := reader.next()
	return whole && first.generation == generation && first.sequence == 0, err
}
