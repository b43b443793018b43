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

// followSettings reloads the settings at each SIGHUP and whenever the watched file has changed, until ctx ends.
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

// watchedFile reloads a settings file that has changed since it was last loaded. It must be used by one goroutine only.
type watchedFile struct {
	path   string
	logger log.Logger
	reload func(*settings.Settings)
	last   os.FileInfo // when last loaded; nil: load it at the next check
}

// newWatchedFile returns a watchedFile for the current state of the file, which it doesn't load.
func newWatchedFile(path string, logger log.Logger, reload func(*settings.Settings)) *watchedFile {
	last, _ := os.Stat(path) // a file that cannot be read now counts as changed once it can
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

// load loads the file and passes the settings to reload. If the file is invalid, perhaps because it is being written, the next check
// retries.
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
