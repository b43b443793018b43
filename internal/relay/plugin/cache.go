package plugin

import (
	"os"
	"path/filepath"
	"slices"
	"time"
)

// cacheFile is the cache file of one compiled module.
type cacheFile struct {
	path       string
	size       int64 // bytes
	modifiedAt time.Time
}

// trimCache removes the oldest compiled modules until the cache is within its size limit.
func (h *Host) trimCache() {
	files := listCache(h.cacheDir)
	slices.SortFunc(files, func(a, b cacheFile) int { return a.modifiedAt.Compare(b.modifiedAt) })
	total := int64(0)
	for _, f := range files {
		total += f.size
	}
	for _, f := range files {
		if total <= h.limits.PluginCache {
			return
		}
		if os.Remove(f.path) == nil {
			total -= f.size
		}
	}
}

// listCache lists the compiled modules of a folder. It leaves out what can't be read.
func listCache(dir string) (files []cacheFile) {
	_ = filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			files = append(files, cacheFile{path, info.Size(), info.ModTime()})
		}
		return nil
	})
	return files
}
