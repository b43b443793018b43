package storage

import "github.com/gravitational/trace"

// HasSnapshot tells whether a group's log follows a snapshot, as Open would find: whether it knows the group's members. It
// reads the first frame of a log and no more.
func HasSnapshot(disk Disk, group string) (bool, error) {
	names, err := disk.List()
	if err != nil {
		return false, trace.Wrap(err)
	}
	found := list(names, group)
	for _, generation := range found.logs {
		begun, err := hasFirstFrame(disk, fileName(group, logName(generation)), generation)
		if err != nil {
			return false, trace.Wrap(err)
		}
		if begun {
			return generation > 0, nil
		}
	}
	return false, nil
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
