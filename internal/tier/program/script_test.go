package program

import (
	"fmt"
	"slices"
)

// choose returns a number from 0 to n-1.
type choose func(n int) int

// step is a command and the true time at which it is proposed. The command itself carries the time of its leader's clock, which may
// differ.
type step struct {
	command Command
	trueMs  int64
}

// script builds a series of commands as relays could send them through leaders with differing clocks.
type script struct {
	choose   choose
	maxGapMs int   // upper bound of the time between two commands
	nowMs    int64 // true time
	offsetMs int64 // of the current leader's clock from the true time
	jumps    int   // how often a leader's clock may still jump by an hour
	turns    []*scriptTurn
	steps    []step
}

// scriptTurn is a turn with the commands that its relay has sent.
type scriptTurn struct {
	begin      *BeginTurn
	end        *EndTurn
	lastSentMs int64
}

// retryMs is how long after a turn's first BeginTurn or EndTurn its commands may be retried.
const retryMs = 25_000

// writeScript returns length steps, less than longestGapMs apart.
func writeScript(choose choose, length, longestGapMs int) []step {
	s := &script{choose: choose, maxGapMs: longestGapMs, nowMs: startMs, jumps: 1}
	for range length {
		s.passTime()
		s.add(s.nextCommand())
	}
	return s.steps
}

// passTime advances the true time, and chooses the offset of the clock that sets the next command's time.
func (s *script) passTime() {
	s.nowMs += int64(s.choose(s.maxGapMs))
	switch s.choose(8) {
	case 0:
		s.offsetMs = int64(s.choose(16_001)) - 8_000
	case 1:
		if s.jumps > 0 && s.choose(10) == 0 {
			s.jumps--
			s.offsetMs = 3_600_000
		}
	default:
		if s.offsetMs > 8_000 {
			s.offsetMs = 0
		}
	}
}

// add appends a step with the command, and the time of the leader's clock in it.
func (s *script) add(command Command) {
	if command.Begin != nil {
		sent := *command.Begin
		sent.AtMs = s.nowMs + s.offsetMs
		command.Begin = &sent
	} else {
		sent := *command.End
		sent.AtMs = s.nowMs + s.offsetMs
		command.End = &sent
	}
	s.steps = append(s.steps, step{command: command, trueMs: s.nowMs})
}

func (s *script) nextCommand() Command {
	kind := s.choose(10)
	if kind < 5 && len(s.turns) > 0 {
		if command, found := s.nextEnd(); found {
			return command
		}
	}
	if kind == 5 {
		if command, found := s.retry(); found {
			return command
		}
	}
	return s.nextBegin()
}

// nextEnd ends one of the latest turns that haven't ended, or sometimes any of them, which may have been abandoned long before.
func (s *script) nextEnd() (Command, bool) {
	var unfinished []*scriptTurn
	for _, t := range s.turns {
		if t.end == nil {
			unfinished = append(unfinished, t)
		}
	}
	if len(unfinished) == 0 {
		return Command{}, false
	}
	candidates := unfinished[max(0, len(unfinished)-4):]
	if s.choose(10) == 0 {
		candidates = unfinished
	}
	t := candidates[s.choose(len(candidates))]
	t.end = &EndTurn{
		Turn:     t.begin.Turn,
		Complete: s.choose(4) > 0,
		Tokens:   int64(s.choose(40)) - 5,
		Output:   s.bytes("out", t.begin.Turn),
	}
	t.lastSentMs = s.nowMs
	return Command{End: t.end}, true
}

// retry repeats a BeginTurn, or sends a second EndTurn that may differ from the first.
func (s *script) retry() (Command, bool) {
	var recent []*scriptTurn
	for _, t := range s.turns {
		if s.nowMs-t.lastSentMs <= retryMs {
			recent = append(recent, t)
		}
	}
	if len(recent) == 0 {
		return Command{}, false
	}
	t := recent[s.choose(len(recent))]
	if t.end == nil || s.choose(2) == 0 {
		return Command{Begin: t.begin}, true
	}
	other := *t.end
	other.Complete = s.choose(2) == 0
	other.Tokens += int64(s.choose(3))
	return Command{End: &other}, true
}

func (s *script) nextBegin() Command {
	name := fmt.Sprint("t", len(s.turns))
	begin := &BeginTurn{
		Turn:       name,
		MaxTokens:  int64(s.choose(32)) - 1,
		Remembered: s.choose(4) > 0,
		KeepForS:   float64(s.choose(4) * 30),
		Input:      s.bytes("in", name),
	}
	if program := s.choose(4); program > 0 {
		begin.Program = fmt.Sprint("p", program)
		begin.Budget = int64(s.choose(3) * (40 + 60*program))
	}
	switch kind := s.choose(8); {
	case kind < 5 && len(s.turns) > 0:
		newest := s.turns[max(0, len(s.turns)-12):]
		begin.Previous = newest[s.choose(len(newest))].begin.Turn
	case kind == 5:
		begin.Previous = fmt.Sprint("elsewhere ", s.choose(3))
		if s.choose(2) == 0 {
			begin.Imported = []byte("{" + begin.Previous + "}")
		}
	}
	s.turns = append(s.turns, &scriptTurn{begin: begin, lastSentMs: s.nowMs})
	return Command{Begin: begin}
}

// bytes returns a turn's input or output; some are empty.
func (s *script) bytes(kind, turn string) []byte {
	if s.choose(8) == 0 {
		return nil
	}
	return slices.Concat([]byte("["), []byte(kind), []byte(turn), []byte("]"))
}
