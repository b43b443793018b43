package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/network"
	"mastusher/internal/tier/storage"
)

// Surroundings are what a role runs in: the system's in a process of its own, others where a test runs many in one.
type Surroundings struct {
	SettingsPath string
	Logger       log.Logger
	Network      network.Network
	OpenDisk     func(folder string) (storage.Disk, error)
	Hangups      <-chan os.Signal // SIGHUP
	TimeOfDay    func() time.Time // of the machine's clock, which may be set
}

// systemSurroundings are those of a process of its own. SIGHUP is taken from here on: it must not end a process that is still
// starting.
func systemSurroundings() Surroundings {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	return Surroundings{
		SettingsPath: os.Getenv(settingsVariable),
		Logger:       level.NewFilter(logger, level.AllowInfo()),
		Network:      network.System{},
		OpenDisk:     openFolder,
		Hangups:      hangups,
		TimeOfDay:    time.Now,
	}
}

// openFolder opens a folder of the machine's file system.
func openFolder(folder string) (storage.Disk, error) {
	disk, err := storage.OpenOSDisk(folder)
	if err != nil {
		return nil, err
	}
	return disk, nil
}

// RunController runs a controller until ctx ends, which stands for SIGTERM.
func RunController(ctx context.Context, around Surroundings) error {
	return runIn(ctx, around, "controller", func(p *process) error { return p.runController(ctx) })
}

// RunStore runs a store until ctx ends, and then until its groups have other owners.
func RunStore(ctx context.Context, around Surroundings) error {
	return runIn(ctx, around, "store", func(p *process) error { return p.runStore(ctx) })
}

// RunAgent runs an agent until ctx ends, and then for as long as its proxy may need it.
func RunAgent(ctx context.Context, around Surroundings) error {
	return runIn(ctx, around, "agent", func(p *process) error { return p.runAgent(ctx) })
}

// RunProxy runs a proxy until ctx ends, and then until what is under way has ended.
func RunProxy(ctx context.Context, around Surroundings) error {
	return runIn(ctx, around, "proxy", func(p *process) error { return p.runProxy(ctx) })
}

// runIn runs a role that shares its process with others: the runtime's limits stay as they are, and its connections end with
// it.
func runIn(ctx context.Context, around Surroundings, role string, run func(p *process) error) error {
	p, err := newProcessIn(around, role)
	if err != nil {
		return err
	}
	defer p.pool.Close()
	return p.tellEnd(ctx, func() error { return run(p) })
}
