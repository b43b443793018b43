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

// Environment variables of a role on a network that can be partitioned.
const (
	addressVariable    = "SOAK_ADDRESS"
	partitionsVariable = "SOAK_CUTS_FILE"
)

// Settings of the Go runtime that the deployed binary applies itself, and the soak's binary doesn't.
const (
	collectPercent = 25
	heapMb         = 192 // three quarters of the memory limit in the settings
)

// partitionEnv returns the environment of a machine's roles on a network that can be partitioned.
func partitionEnv(m localtier.Machine, partitionsPath string) []string {
	return []string{addressVariable + "=" + m.IP, partitionsVariable + "=" + partitionsPath, "GOGC=" + strconv.Itoa(collectPercent),
		fmt.Sprintf("GOMEMLIMIT=%dMiB", heapMb)}
}

// UnknownRoleError reports a role that the tier does not have.
type UnknownRoleError struct {
	Role string
}

// Error names the role.
func (e *UnknownRoleError) Error() string { return fmt.Sprintf("unknown role %q", e.Role) }

// RunRole runs a role of the tier as its binary does, but on a network that can be partitioned, until SIGTERM or SIGINT. Its
// errors are an *UnknownRoleError, those of partitionnetwork.New and those of the role. The goroutine that follows the file of
// partitions ends with ctx; nothing waits for it, because the process ends with the role.
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
	network, err := partitionnetwork.New(os.Getenv(addressVariable), os.Getenv(partitionsVariable))
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
				return nil, err // a nil *storage.OS in a storage.Disk would not equal nil
			}
			return disk, nil
		},
		ReloadSignals: hangups,
		Now:           time.Now,
	})
}
