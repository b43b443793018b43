package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/system/fault"
)

// refusalsInterval is the pace at which a proxy logs what it has answered by itself.
const refusalsInterval = time.Second

// refusals counts a proxy's own answers by their kind.
type refusals struct {
	mutex  sync.Mutex
	counts map[fault.Kind]int
	cause  error // of the last turn that the stores could not begin; nil: none since the last report
}

func newRefusals() *refusals { return &refusals{counts: map[fault.Kind]int{}} }

// add counts one answer.
func (r *refusals) add(kind fault.Kind) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[kind]++
}

// noteCause keeps why a turn could not be begun.
func (r *refusals) noteCause(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cause = err
}

// take returns what has come since the last call.
func (r *refusals) take() (counts map[fault.Kind]int, cause error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts, cause = r.counts, r.cause
	r.counts, r.cause = map[fault.Kind]int{}, nil
	return counts, cause
}

// run logs the counts at each interval in which there are any, until ctx ends.
func (r *refusals) run(ctx context.Context, logger log.Logger) {
	ticker := time.NewTicker(refusalsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.log(logger)
		}
	}
}

func (r *refusals) log(logger log.Logger) {
	counts, cause := r.take()
	if len(counts) == 0 {
		return
	}
	fields := []any{"msg", "own answers"}
	for _, kind := range fault.Kinds() {
		if counts[kind] > 0 {
			fields = append(fields, kind.String(), counts[kind])
		}
	}
	if cause != nil {
		fields = append(fields, "cause", cause)
	}
	level.Info(logger).Log(fields...)
}
