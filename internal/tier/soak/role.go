package soak

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/command"
	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/network/partitionnetwork"
	"mastusher/internal/tier/storage"
)

// The environment of a role in a network that can be cut.
const (
	addressVariable = "SOAK_ADDRESS"
	cutsVariable    = "SOAK_CUTS_FILE"
)

// What the deployed binary sets for its runtime, and a role that a test runs doesn't.
const (
	collectPercent = 25
	heapMb         = 192 // three quarters of the limit in the settings
)

func cuttingEnvironment(m localtier.Machine, cutsPath string) []string {
	return []string{addressVariable + "=" + m.IP, cutsVariable + "=" + cutsPath, "GOGC=" + strconv.Itoa(collectPercent),
		fmt.Sprintf("GOMEMLIMIT=%dMiB", heapMb)}
}

// UnknownRoleError names a role that the tier doesn't have.
type UnknownRoleError struct {
	Role string
}

// Error tells the name.
func (e *UnknownRoleError) Error() string { return fmt.Sprintf("there is no role %q", e.Role) }

// RunRole runs a role of the tier as its binary does, in a network that can be cut, until SIGTERM.
func RunRole(ctx context.Context, role string) error {
	run, known := map[string]func(context.Context, command.Environment) error{
		localtier.ControllerRole: command.RunController, localtier.StoreRole: command.RunStore,
		localtier.AgentRole: command.RunAgent, localtier.ProxyRole: command.RunProxy,
	}[role]
	if !known {
		return &UnknownRoleError{Role: role}
	}
	stopping, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	network, err := partitionnetwork.New(os.Getenv(addressVariable), os.Getenv(cutsVariable))
	if err != nil {
		return err
	}
	go network.Follow(ctx)
	return run(stopping, command.Environment{
		SettingsPath: os.Getenv(localtier.SettingsVariable),
		Logger:       level.NewFilter(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), level.AllowInfo()),
		Network:      network,
		OpenDisk: func(folder string) (storage.Disk, error) {
			disk, err := storage.OpenOSDisk(folder)
			if err != nil {
				return nil, err // not a nil *storage.OS in an interface
			}
			return disk, nil
		},
		ReloadSignals: hangups,
		Now:           time.Now,
	})
}
