package platformlist

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"mastusher/internal/system/model"
	"mastusher/internal/system/network"
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

// Reader reads the whole list. It is used by one goroutine at a time.
type Reader struct {
	options    Options
	connection *connection
	clock      Clock
	bucket     *bucket
	random     *rand.Rand
	roll       roll
}

// NewReader gives a reader that knows no endpoint yet.
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
		bucket:     newBucket(options.RatePerS, clock.Now()),
		random:     rand.New(rand.NewPCG(options.Seed, 0)),
	}, nil
}

// Adopt tells a new reader what the one before it knew, so that one read that misses an endpoint does not remove it.
func (r *Reader) Adopt(endpoints []model.Endpoint) {
	r.roll.adopt(endpoints)
}

// Close closes the connection.
func (r *Reader) Close() {
	r.connection.close()
}

// ReadAll reads all pages and gives every endpoint that is there, in the order of their ids. Pages that fail are asked
// for again, with growing pauses, until ctx ends; then the error is the last failure, and what was known stays.
func (r *Reader) ReadAll(ctx context.Context) ([]model.Endpoint, error) {
	pager := newPager()
	restarts := 0
	for !pager.done {
		answer, err := r.page(ctx, pager.token)
		switch {
		case err == nil:
			err = pager.accept(answer)
		case unknownPage(err, pager.token) && restarts < maxRestarts:
			restarts++
			pager, err = newPager(), nil
		}
		if err != nil {
			return nil, err
		}
	}
	r.roll.observe(pager.found)
	return r.roll.endpoints(), nil
}

// page asks for one page until it comes, the platform refuses it for good or ctx ends.
func (r *Reader) page(ctx context.Context, token string) (page, error) {
	for failures := 1; ; failures++ {
		if err := r.wait(ctx, r.bucket.take(r.clock.Now())); err != nil {
			return page{}, err
		}
		answer, err := r.fetch(ctx, token)
		if err == nil || unknownPage(err, token) {
			return answer, err
		}
		if stopped := r.wait(ctx, r.pause(failures, err)); stopped != nil {
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

// unknownPage says whether the platform no longer knows the page, so that the read starts anew.
func unknownPage(err error, token string) bool {
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
