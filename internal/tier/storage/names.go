package storage

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// ReadChunks of file names, behind the group's name and a dot.
const (
	slotPrefix = "slot-"
	logPrefix  = "log-"
)

// slotNames are the ends of the two slots' names.
var slotNames = [2]string{slotPrefix + "a", slotPrefix + "b"}

// logName returns the end of the name of a generation's log.
func logName(generation uint64) string {
	return logPrefix + strconv.FormatUint(generation, 10)
}

// fileName returns the name of a group's file.
func fileName(group, end string) string { return group + "." + end }

// checkGroupName refuses names that cannot begin a file's name.
func checkGroupName(group string) error {
	if group == "" || strings.ContainsAny(group, "/\x00") || strings.HasPrefix(group, ".") {
		return trace.BadParameter("group name %q cannot begin a file's name", group)
	}
	return nil
}

// listing is what a group has on its disk.
type listing struct {
	slots [2]bool
	logs  []uint64 // generations, the newest first
}

// hasSlot tells whether there is a slot, whatever it holds.
func (l *listing) hasSlot() bool { return l.slots[0] || l.slots[1] }

// list finds a group's files among all names of a disk.
func list(names []string, group string) listing {
	var found listing
	for _, name := range names {
		end, mine := strings.CutPrefix(name, group+".")
		if !mine {
			continue
		}
		if generation, ok := parseLogName(end); ok {
			found.logs = append(found.logs, generation)
		}
		for i := range slotNames {
			found.slots[i] = found.slots[i] || end == slotNames[i]
		}
	}
	slices.SortFunc(found.logs, func(a, b uint64) int { return cmp.Compare(b, a) })
	return found
}

// parseLogName returns the generation in the end of a log's name.
func parseLogName(end string) (uint64, bool) {
	number, isLog := strings.CutPrefix(end, logPrefix)
	if !isLog {
		return 0, false
	}
	generation, err := strconv.ParseUint(number, 10, 64)
	return generation, err == nil && logName(generation) == end
}

// ListGroups returns the names of all groups that have files on a disk, sorted.
func ListGroups(disk Disk) ([]string, error) {
	names, err := disk.List()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var groups []string
	for _, name := range names {
		cut := strings.LastIndexByte(name, '.')
		if cut <= 0 || !isGroupEnd(name[cut+1:]) {
			continue
		}
		groups = append(groups, name[:cut])
	}
	slices.Sort(groups)
	return slices.Compact(groups), nil
}

// isGroupEnd tells whether a name that ends like this is that of a group's file.
func isGroupEnd(end string) bool {
	_, isLog := parseLogName(end)
	return isLog || slices.Contains(slotNames[:], end)
}
