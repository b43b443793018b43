package plugin

import (
	"os"
	"path/filepath"
	"slices"
	"time"
)

// trimCache removes the oldest compiled modules beyond the limit.
func (h *Host) trimCache() {
	type file struct {
		path string
		size int64
		at   time.Time
	}
	var all []file
	total := int64(0)
	_ = filepath.WalkDir(h.cacheDir, func(path string, d os.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			if info, err := d.Info(); err == nil {
				all = append(all, file{path, info.Size(), info.ModTime()})
				total += info.Size()
			}
		}
		return nil
	})
	slices.SortFunc(all, func(a, b file) int { return a.at.Compare(b.at) })
	for _, f := range all {
		if total <= h.limits.PluginCache {
			return
		}
		if os.Remove(f.path) == nil {
			total -= f.size
		}
	}
}
