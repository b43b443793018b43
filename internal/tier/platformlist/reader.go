package platformlist

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/network"
)

// Options says where the list is and how fast it may be read.
type Options struct {
	Address  string          // host and port of the platform
	RatePerS float64         // this reader's part of the calls that the platform accepts in a second
	Zone     string          // only this zone; empty for all
	Clock    Clock           // SystemClock if nil
	Seed     uint64          // of the jitter
	Network  network.Network // nil: the system's
}

// Reader reads the whole list. It is used by one goroutine at a time, and remembers nothing from one read to the next.
type Reader struct {
	options    Options
	connection *connection
	clock      Clock
	bucket     *tokenBucket
	random     *rand.Rand
}

// NewReader gives a reader that has no connection yet.
func NewReader(options Options) (*Reader, error) {
	if !(options.RatePerS > 0) {
		return nil, fmt.Errorf("list of endpoints: a rate of %v calls a second reads nothing", options.RatePerS)
	}
	clock := options.Clock
	if clock == nil {
		clock = SystemClock{}
	}
	return &Reader{
		options:    options,
		connection: newConnection(options.Address, network.OrSystem(options.Network)),
		clock:      clock,
		bucket:     newTokenBucket(options.RatePerS, clock.Now()),
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
	}, nil
}

// Close closes the connection.
func (r *Reader) Close() {
	r.connection.close()
}

// ReadAll reads all pages and gives every endpoint on them, in the order of their ids. Pages that fail are asked for again,
// with growing pauses, until ctx ends; then the error wraps the last failure.
func (r *Reader) ReadAll(ctx context.Context) ([]model.Endpoint, error) {
	pager := newPager()
	restarts := 0
	for !pager.done {
		answer, err := r.page(ctx, pager.token)
		switch {
		case err == nil:
			err = pager.accept(answer)
		case isUnknownPage(err, pager.token) && restarts < maxRestarts:
			restarts++
			pager, err = newPager(), nil
		}
		if err != nil {
			return nil, err
		}
	}
	return sortedByID(maps.Values(pager.found)), nil
}

// sortedByID sorts endpoints by their ids.
func sortedByID(endpoints iter.Seq[model.Endpoint]) []model.Endpoint {
	all := slices.AppendSeq([]model.Endpoint{}, endpoints)
	slices.SortFunc(all, func(a, b model.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// page asks for one page until it comes, the platform refuses it for good or ctx ends.
func (r *Reader) page(ctx context.Context, token string) (page, error) {
	if err := r.wait(ctx, r.bucket.take(r.clock.Now())); err != nil {
		return page{}, err
	}
	for failures := 1; ; failures++ {
		answer, err := r.fetch(ctx, token)
		if err == nil || isUnknownPage(err, token) {
			return answer, err
		}
		pause := max(r.pause(failures, err), r.bucket.take(r.clock.Now()))
		if stopped := r.wait(ctx, pause); stopped != nil {
			return page{}, fmt.Errorf("%w after %w", stopped, err)
		}
	}
}

func (r *Reader) pause(failures int, err error) time.Duration {
	pause := backoff(failures, r.random.Float64())
	var status *StatusError
	if errors.As(err, &status) {
		pause = max(pause, status.RetryAfter)
	}
	return pause
}

func (r *Reader) wait(ctx context.Context, pause time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if pause <= 0 {
		return nil
	}
	return r.clock.Sleep(ctx, pause)
}

// isUnknownPage says whether the platform no longer knows the page, so that the read starts anew.
func isUnknownPage(err error, token string) bool {
	var status *StatusError
	if token == "" || !errors.As(err, &status) {
		return false
	}
	switch status.Status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusGone:
		return true
	default:
		return false
	}
}
