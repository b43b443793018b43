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

// Environment holds the external dependencies of a role: those of the operating system for a role in a process of its own, or a test's
// for several roles in one process.
type Environment struct {
	SettingsPath  string // path of the YAML settings file
	Logger        log.Logger
	Network       network.Network
	OpenDisk      func(directory string) (storage.Disk, error)
	ReloadSignals <-chan os.Signal // SIGHUP
	Now           func() time.Time // time of day, which may be set back
}

// systemEnvironment returns the environment of a role in a process of its own. It handles SIGHUP from here on, which must not end a
// process that is still starting.
func systemEnvironment() Environment {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	return Environment{
		SettingsPath:  os.Getenv(settingsVariable),
		Logger:        level.NewFilter(logger, level.AllowInfo()),
		Network:       network.System{},
		OpenDisk:      openDirectory,
		ReloadSignals: reloads,
		Now:           time.Now,
	}
}

// openDirectory opens a directory of the file system as a disk.
func openDirectory(directory string) (storage.Disk, error) {
	disk, err := storage.OpenOSDisk(directory)
	if err != nil {
		return nil, err
	}
	return disk, nil
}

// RunController runs a controller until ctx ends. For all roles the end of ctx has the effect of SIGTERM. An error means that the role
// ended on its own or did not shut down properly.
func RunController(ctx context.Context, env Environment) error {
	return runShared(ctx, env, "controller", func(p *process) error { return p.runController(ctx) })
}

// RunStore runs a store until ctx ends, and then until its groups have other leaders.
func RunStore(ctx context.Context, env Environment) error {
	return runShared(ctx, env, storeRole, func(p *process) error { return p.runStore(ctx) })
}

// RunAgent runs an agent until ctx ends, and then for a part of the grace time, because its proxy may still need it.
func RunAgent(ctx context.Context, env Environment) error {
	return runShared(ctx, env, "agent", func(p *process) error { return p.runAgent(ctx) })
}

// RunProxy runs a proxy until ctx ends, and then until the requests in flight have ended or the grace time is over.
func RunProxy(ctx context.Context, env Environment) error {
	return runShared(ctx, env, "proxy", func(p *process) error { return p.runProxy(ctx) })
}

// runShared runs a role that shares its process with others. It doesn't set the runtime's limits, and it closes its connections at the end.
func runShared(ctx context.Context, env Environment, role string, run func(p *process) error) error {
	p, err := newProcessWith(env, role)
	if err != nil {
		return err
	}
	defer p.pool.Close()
	return p.logShutdown(ctx, func() error { return run(p) })
}
