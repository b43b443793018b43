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

// maxRestarts bounds the restarts of one read after the platform rejected a page's token.
const maxRestarts = 3

// Options configures a reader.
type Options struct {
	Address  string          // host:port of the platform
	RatePerS float64         // this reader's share of the calls per second that the platform accepts; must be above 0
	Zone     string          // zone of the endpoints to read; default: all zones
	Clock    Clock           // default: SystemClock
	Seed     uint64          // of the backoff's jitter
	Network  network.Network // default: the system's
}

// Reader reads the complete list. Reads only share the connection and the rate limit. A Reader is not safe for concurrent use.
type Reader struct {
	options    Options
	connection *connection
	clock      Clock
	bucket     *tokenBucket
	random     *rand.Rand
}

// NewReader returns a reader without an open connection. It fails with ErrNoRate if the rate is not above 0.
func NewReader(options Options) (*Reader, error) {
	if !(options.RatePerS > 0) {
		return nil, fmt.Errorf("%w: %v", ErrNoRate, options.RatePerS)
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

// ReadAll reads all pages and returns their endpoints, sorted by ID. Failed pages are retried with backoff until ctx ends; the error
// then wraps both the context's error and the last failure.
func (r *Reader) ReadAll(ctx context.Context) ([]model.Endpoint, error) {
	pager := newPager()
	restarts := 0
	for !pager.done {
		next, err := r.readPage(ctx, pager.token)
		switch {
		case err == nil:
			err = pager.accept(next)
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

// sortedByID returns the endpoints sorted by ID.
func sortedByID(endpoints iter.Seq[model.Endpoint]) []model.Endpoint {
	all := slices.AppendSeq([]model.Endpoint{}, endpoints)
	slices.SortFunc(all, func(a, b model.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// readPage reads one page, with retries until the platform rejects the token or ctx ends.
func (r *Reader) readPage(ctx context.Context, token string) (page, error) {
	if err := r.wait(ctx, r.bucket.take(r.clock.Now())); err != nil {
		return page{}, err
	}
	for failures := 1; ; failures++ {
		next, err := r.fetch(ctx, token)
		if err == nil || isUnknownPage(err, token) {
			return next, err
		}
		delay := max(r.retryDelay(failures, err), r.bucket.take(r.clock.Now()))
		if stopped := r.wait(ctx, delay); stopped != nil {
			return page{}, fmt.Errorf("%w after %w", stopped, err)
		}
	}
}

// retryDelay returns the backoff after a number of failures, or the platform's Retry-After if that is longer.
func (r *Reader) retryDelay(failures int, err error) time.Duration {
	delay := backoff(failures, r.random.Float64())
	var status *StatusError
	if errors.As(err, &status) {
		delay = max(delay, status.RetryAfter)
	}
	return delay
}

func (r *Reader) wait(ctx context.Context, delay time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if delay <= 0 {
		return nil
	}
	return r.clock.Sleep(ctx, delay)
}

// isUnknownPage reports whether an error means that the platform rejected a page's token, so that the read must restart.
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
