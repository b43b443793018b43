package command

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/settings"
)

func TestWatchedFile_Changes_IsReloaded(t *testing.T) {
	// Given a process that has loaded its settings,
	path := writeFile(t, goodSettings)
	var zones []string
	watched := newWatchedFile(path, log.NewNopLogger(), func(loaded *settings.Settings) { zones = append(zones, loaded.Zone) })
	write := func(content string, at time.Time) {
		t.Helper()
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	// when the file is unchanged, changed, half written, and complete again,
	watched.check()
	write(strings.ReplaceAll(goodSettings, "zone: north", "zone: south"), time.Unix(1000, 0))
	watched.check()
	watched.check()
	write("zone: [", time.Unix(2000, 0))
	watched.check()
	write(goodSettings, time.Unix(3000, 0))
	watched.check()
	watched.check()
	// then each complete version is loaded once,
	if got := strings.Join(zones, " "); got != "south north" {
		t.Errorf("zones loaded: %s, want south north", got)
	}
	// and a signal loads the file even if it is unchanged.
	watched.load()
	if got := strings.Join(zones, " "); got != "south north north" {
		t.Errorf("zones loaded after a signal: %s, want south north north", got)
	}
}
