package command

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
)

// EndMessage is the msg of the last log line of a process that was told to end. Its key "after" has the time since then.
const EndMessage = "process has ended"

// notifyTermination returns a context that ends on SIGTERM or SIGINT.
func notifyTermination(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
}

// logShutdown runs a role, and logs the request to end and how long the end took. It logs neither if the role ends on its own.
func (p *process) logShutdown(stopping context.Context, run func() error) error {
	requested := make(chan time.Time, 1)
	context.AfterFunc(stopping, func() {
		requested <- time.Now()
		level.Info(p.logger).Log("msg", "shutdown requested", "grace", p.settings.Bounds.GracePeriod())
	})
	stopReports := p.startMemoryReports()
	err := run()
	stopReports()
	if stopping.Err() != nil { // otherwise it ended on its own
		level.Info(p.logger).Log("msg", EndMessage, "after", time.Since(<-requested))
	}
	return err
}
