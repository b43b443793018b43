package command

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/settings"
)

// settingsInterval is how often a process looks whether its settings file has changed without a signal.
const settingsInterval = 3 * time.Second

// onReload calls reload with the settings read anew at each SIGHUP and whenever their file has changed, until ctx ends.
func (p *process) onReload(ctx context.Context, reload func(*settings.Settings)) {
	watched := newWatchedFile(p.around.SettingsPath, p.logger, reload)
	go func() {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-p.around.Hangups:
				watched.read()
			case <-ticker.C:
				watched.check()
			}
		}
	}()
}

// watchedFile is a settings file as it was when it was last read.
type watchedFile struct {
	path   string
	logger log.Logger
	reload func(*settings.Settings)
	last   os.FileInfo
}

func newWatchedFile(path string, logger log.Logger, reload func(*settings.Settings)) *watchedFile {
	last, _ := os.Stat(path) // a file that can't be looked at counts as changed once it can
	return &watchedFile{path: path, logger: logger, reload: reload, last: last}
}

// check reads the file if it isn't what it was.
func (w *watchedFile) check() {
	now, err := os.Stat(w.path)
	if err != nil || w.last != nil && os.SameFile(w.last, now) && w.last.ModTime().Equal(now.ModTime()) && w.last.Size() == now.Size() {
		return
	}
	w.read()
}

// read reads the file and hands it on. One that can't be read, perhaps since it is being written, is tried again at the next
// check.
func (w *watchedFile) read() {
	now, _ := os.Stat(w.path)
	loaded, err := settings.Load(w.path)
	if err != nil {
		level.Error(w.logger).Log("msg", "settings stay as they were", "err", err)
		w.last = nil
		return
	}
	w.last = now
	w.reload(loaded)
}
