package storage

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Suffixes of file names, behind the group's name and a dot.
const (
	slotPrefix = "slot-"
	logPrefix  = "log-"
)

// slotSuffixes are the suffixes of the two slots' names.
var slotSuffixes = [2]string{slotPrefix + "a", slotPrefix + "b"}

// logSuffix returns the suffix of the name of a generation's log.
func logSuffix(generation uint64) string {
	return logPrefix + strconv.FormatUint(generation, 10)
}

// fileName returns the name of a group's file.
func fileName(group, suffix string) string { return group + "." + suffix }

// checkGroupName refuses names that cannot begin a file's name.
func checkGroupName(group string) error {
	if group == "" || strings.ContainsAny(group, "/\x00") || strings.HasPrefix(group, ".") {
		return trace.BadParameter("group name %q cannot begin a file's name", group)
	}
	return nil
}

// groupFiles are the files that a group has on its disk.
type groupFiles struct {
	slots [2]bool
	logs  []uint64 // generations, the newest first
}

// hasSlot reports whether there is a slot, whatever it holds.
func (f *groupFiles) hasSlot() bool { return f.slots[0] || f.slots[1] }

// findGroupFiles finds a group's files among all names of a disk.
func findGroupFiles(names []string, group string) groupFiles {
	var found groupFiles
	for _, name := range names {
		suffix, ok := strings.CutPrefix(name, group+".")
		if !ok {
			continue
		}
		if generation, ok := parseLogSuffix(suffix); ok {
			found.logs = append(found.logs, generation)
		}
		for i := range slotSuffixes {
			found.slots[i] = found.slots[i] || suffix == slotSuffixes[i]
		}
	}
	slices.SortFunc(found.logs, func(a, b uint64) int { return cmp.Compare(b, a) })
	return found
}

// parseLogSuffix returns the generation in the suffix of a log's name. Only what logSuffix writes is one.
func parseLogSuffix(suffix string) (uint64, bool) {
	number, isLog := strings.CutPrefix(suffix, logPrefix)
	if !isLog {
		return 0, false
	}
	generation, err := strconv.ParseUint(number, 10, 64)
	return generation, err == nil && logSuffix(generation) == suffix
}

// ListGroups returns the names of all groups that have files on a disk, sorted.
func ListGroups(disk Disk) ([]string, error) {
	names, err := disk.List()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var groups []string
	for _, name := range names {
		dot := strings.LastIndexByte(name, '.')
		if dot <= 0 || !isGroupSuffix(name[dot+1:]) {
			continue
		}
		groups = append(groups, name[:dot])
	}
	slices.Sort(groups)
	return slices.Compact(groups), nil
}

// isGroupSuffix reports whether a name with this suffix is that of a group's file.
func isGroupSuffix(suffix string) bool {
	_, isLog := parseLogSuffix(suffix)
	return isLog || slices.Contains(slotSuffixes[:], suffix)
}
