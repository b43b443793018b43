package command

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/settings"
)

// settingsInterval is the interval at which a process checks whether its settings file has changed.
const settingsInterval = 3 * time.Second

// followSettings calls reload with the reloaded settings at each SIGHUP and whenever their file has changed, until ctx ends. watched is
// the file as the process has loaded it.
func (p *process) followSettings(ctx context.Context, watched *watchedFile) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.env.ReloadSignals:
			watched.load()
		case <-ticker.C:
			watched.check()
		}
	}
}

// watchedFile is a settings file as it was when it was last loaded. It belongs to one goroutine.
type watchedFile struct {
	path   string
	logger log.Logger
	reload func(*settings.Settings)
	last   os.FileInfo // nil: load it at the next check
}

// newWatchedFile returns the file as it is now, without loading it.
func newWatchedFile(path string, logger log.Logger, reload func(*settings.Settings)) *watchedFile {
	last, _ := os.Stat(path) // a file that can't be looked at counts as changed once it can
	return &watchedFile{path: path, logger: logger, reload: reload, last: last}
}

// check loads the file if it has changed.
func (w *watchedFile) check() {
	now, err := os.Stat(w.path)
	if err != nil || w.last != nil && os.SameFile(w.last, now) && w.last.ModTime().Equal(now.ModTime()) && w.last.Size() == now.Size() {
		return
	}
	w.load()
}

// load loads the file and passes the settings on. One that is invalid, perhaps since it is being written, is retried at the next
// check.
func (w *watchedFile) load() {
	now, _ := os.Stat(w.path)
	loaded, err := settings.Load(w.path)
	if err != nil {
		level.Error(w.logger).Log("msg", "reloading settings failed, previous settings stay active", "err", err)
		w.last = nil
		return
	}
	w.last = now
	w.reload(loaded)
}
