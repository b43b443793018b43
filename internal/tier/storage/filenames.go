package storage

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Prefixes of the file name suffixes, which follow the group's name and a dot.
const (
	slotPrefix = "slot-"
	logPrefix  = "log-"
)

// slotSuffixes are the suffixes of the two slots' file names.
var slotSuffixes = [2]string{slotPrefix + "a", slotPrefix + "b"}

// logSuffix returns the file name suffix of a generation's log.
func logSuffix(generation uint64) string {
	return logPrefix + strconv.FormatUint(generation, 10)
}

// fileName returns the name of a group's file.
func fileName(group, suffix string) string { return group + "." + suffix }

// checkGroupName returns an error for names that can't be used as the prefix of a file name.
func checkGroupName(group string) error {
	if group == "" || strings.ContainsAny(group, "/\x00") || strings.HasPrefix(group, ".") {
		return trace.BadParameter("group name %q is empty, begins with a dot or contains a slash or NUL", group)
	}
	return nil
}

// groupFiles lists the files of a group on its disk.
type groupFiles struct {
	slots [2]bool  // whether each slot's file exists
	logs  []uint64 // generations of the logs, newest first
}

// hasSlot reports whether a slot's file exists, regardless of its content.
func (f *groupFiles) hasSlot() bool { return f.slots[0] || f.slots[1] }

// findGroupFiles selects a group's files from all names on a disk.
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

// parseLogSuffix returns the generation in a log's file name suffix. It accepts only the exact form that logSuffix returns.
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

// isGroupSuffix reports whether a suffix is that of a slot or log.
func isGroupSuffix(suffix string) bool {
	_, isLog := parseLogSuffix(suffix)
	return isLog || slices.Contains(slotSuffixes[:], suffix)
}
