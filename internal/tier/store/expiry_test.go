package store

import (
	"sync/atomic"
	"testing"
	"time"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/storage/memorydisk"
	"mastusher/internal/tier/wire"
)

// A full store rejected all turns before they became commands. Contents expire with commands only, so it stayed full.
func TestStore_FullAndAllTurnsRefused_ContentsExpire(t *testing.T) {
	// Given a full store whose contents have been kept for long enough,
	s := newStore(t, memorydisk.New())
	var now atomic.Int64
	now.Store(time.Now().UnixMilli())
	s.options.Now = func() time.Time { return time.UnixMilli(now.Load()) }
	s.ApplyPlacement(5, selfPlacement(1))
	awaitPlacement(t, s, 1, 5)
	ctx := testContext(t)
	for _, turn := range []string{"1", "2", "3"} {
		begin := program.BeginTurn{Turn: turn, Program: "p", Remembered: true, KeepForS: 1, Input: make([]byte, 1000)}
		if _, err := s.handleBeginTurn(ctx, "", wire.BeginTurnRequest{Turn: begin}); err != nil {
			t.Fatal(err)
		}
		if _, err := s.handleEndTurn(ctx, "", wire.EndTurnRequest{Turn: program.EndTurn{Turn: turn, Complete: true}}); err != nil {
			t.Fatal(err)
		}
	}
	s.options.Fullness = func() Fullness { return Full }
	// when it gets only turns that it rejects, then its contents expire all the same.
	const longerThanKept = 120
	for second := 0; ; second++ {
		answer, err := s.handleBeginTurn(ctx, "", wire.BeginTurnRequest{Turn: program.BeginTurn{Turn: "n", Program: "q", Remembered: true}})
		if err != nil || answer.Result.Verdict != program.StorageFull {
			t.Fatalf("a new turn: %+v, %v", answer, err)
		}
		if _, stats := s.Stats(); stats.StateBytes == 0 {
			return
		}
		if second > longerThanKept {
			t.Fatal("contents are kept for good")
		}
		now.Add(time.Second.Milliseconds())
		s.expireIdle()
		s.awaitClock(t)
	}
}

// awaitClock waits until no command that advances the clock is pending.
func (s *Store) awaitClock(t *testing.T) {
	t.Helper()
	for ctx := testContext(t); s.running()[0].advancingClock.Load(); time.Sleep(time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatal("the command is still pending")
		}
	}
}
