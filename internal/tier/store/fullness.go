package store

import (
	"context"
	"encoding/base64"
	"time"

	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/transport"
)

// Fullness says how much of its memory and disk a store uses, and so which commands it rejects with program.StorageFull. A rejected
// duplicate of a turn that was begun before leaves that turn's reservation until it expires.
type Fullness int

// The degrees of fullness. Each rejects what the one before does, and more.
const (
	Roomy       Fullness = iota // rejects nothing
	ShortOfBulk                 // rejects turns with inputs over memorybudget.SmallBytes
	OutOfBulk                   // rejects ends with outputs over memorybudget.SmallBytes
	Near                        // rejects new programs
	Full                        // rejects all turns whose contents would be kept
)

// String returns the name in log lines.
func (f Fullness) String() string {
	return [...]string{Roomy: "roomy", ShortOfBulk: "short", OutOfBulk: "small", Near: "near", Full: "full"}[f]
}

// admitsBegin reports whether a turn may be begun.
func (f Fullness) admitsBegin(turn *program.BeginTurn) bool {
	switch {
	case !turn.Remembered:
		return true
	case len(turn.Input)+len(turn.Imported) > memorybudget.SmallBytes:
		return f < ShortOfBulk
	case turn.Previous == "":
		return f < Near
	}
	return f < Full
}

// admitsEnd reports whether a turn may be ended with its output.
func (f Fullness) admitsEnd(turn *program.EndTurn) bool {
	return len(turn.Output) <= memorybudget.SmallBytes || f < OutOfBulk
}

// fullness returns the store's fullness now.
func (s *Store) fullness() Fullness {
	if s.options.Fullness == nil {
		return Roomy
	}
	return s.options.Fullness()
}

// takesLarge counts large contents as being proposed until release is called. It returns false if they would not leave room for small
// programs: with them, all contents and logs would take more than a limit. Fullness alone is too coarse for that: it is measured at intervals.
func (s *Store) takesLarge(bytes int, limit int64) (release func(), ok bool) {
	if bytes <= memorybudget.SmallBytes || limit <= 0 {
		return func() {}, true
	}
	retained := int64(bytes) + int64(base64.StdEncoding.EncodedLen(bytes)) // as state, and as JSON in the log
	proposed := s.largeContents.Add(retained)
	release = func() { s.largeContents.Add(-retained) }
	if _, stats := s.Stats(); stats.ContentBytes()+proposed > limit {
		release()
		return nil, false
	}
	return release, true
}

// admitContents counts contents as being proposed and reserves their memory until release is called. It returns false if large ones would
// take all contents beyond a limit, or if there is no memory.
func (s *Store) admitContents(ctx context.Context, bytes int, limit int64) (release func(), ok bool) {
	uncount, ok := s.takesLarge(bytes, limit)
	if !ok {
		return nil, false
	}
	lease, err := s.reserveContents(ctx, bytes)
	if err != nil {
		uncount()
		return nil, false
	}
	return func() {
		lease.Release()
		uncount()
	}, true
}

// commandCopies is how often large contents are in memory while a command is proposed: decoded, as JSON, and as an entry of the log.
const commandCopies = 4

const (
	// contentsWait is how long large contents wait for memory. It is shorter than the time after which a proxy tries another store.
	contentsWait = 300 * time.Millisecond
	// maxWaitingContents bounds the calls that wait, each of which holds its contents.
	maxWaitingContents = 4
)

// reserveContents reserves the memory of large contents that are being proposed. It waits for a short time, unless too many others do. An
// error means that there is no memory.
func (s *Store) reserveContents(ctx context.Context, bytes int) (*memorybudget.Lease, error) {
	if bytes <= memorybudget.SmallBytes {
		return nil, nil
	}
	needed := commandCopies * int64(bytes)
	lease, err := s.options.Memory.TryReserve(memorybudget.Large, needed)
	if err == nil {
		return lease, nil
	}
	select {
	case s.waitingContents <- struct{}{}:
		defer func() { <-s.waitingContents }()
	default:
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, contentsWait)
	defer cancel()
	return s.options.Memory.Reserve(ctx, memorybudget.Large, needed)
}

// chainCopies is how often a chain is in memory while it is answered with: joined, and as JSON.
const chainCopies = 3

// reserveChain reserves the memory of a chain until the answer to the call of ctx has been encoded.
func (s *Store) reserveChain(ctx context.Context, chain program.Chain) error {
	bytes := chain.Bytes()
	if bytes <= memorybudget.SmallBytes {
		return nil
	}
	lease, err := s.options.Memory.TryReserve(memorybudget.Large, chainCopies*int64(bytes))
	if err != nil {
		return &transport.RemoteError{Kind: transport.KindBusy, Message: "no memory for the turn's chain now"}
	}
	transport.OnAnswered(ctx, lease.Release)
	return nil
}
