package program

import (
	"fmt"
	"slices"
)

// choose gives a number from 0 to under n.
type choose func(n int) int

// step is a command at a true time; the command's own time of day is that of its leader's clock.
type step struct {
	command Command
	trueMs  int64
}

// script builds a series of commands as relays and leaders with differing clocks could send them.
type script struct {
	choose   choose
	maxGapMs int // ms between two commands
	nowMs    int64
	offsetMs int64
	jumps    int // how often a clock may still jump by an hour
	turns    []*scriptTurn
	steps    []step
}

// scriptTurn is a turn as its relay knows it.
type scriptTurn struct {
	begin      *BeginTurn
	end        *EndTurn
	lastSentMs int64
}

// Commands are retried for so long after the first time.
const retryMs = 25_000

// writeScript gives length steps with up to longest milliseconds between them.
func writeScript(choose choose, length, longest int) []step {
	s := &script{choose: choose, maxGapMs: longest, nowMs: startMs, jumps: 1}
	for range length {
		s.passTime()
		s.add(s.nextCommand())
	}
	return s.steps
}

// passTime moves the true time on and picks whose clock the next command carries.
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

// nextEnd ends one of the last turns that haven't ended; sometimes one that its relay abandoned for long.
func (s *script) nextEnd() (Command, bool) {
	var open []*scriptTurn
	for _, t := range s.turns {
		if t.end == nil {
			open = append(open, t)
		}
	}
	if len(open) == 0 {
		return Command{}, false
	}
	newest := open[max(0, len(open)-4):]
	if s.choose(10) == 0 {
		newest = open
	}
	t := newest[s.choose(len(newest))]
	t.end = &EndTurn{
		Turn:     t.begin.Turn,
		Complete: s.choose(4) > 0,
		Tokens:   int64(s.choose(40)) - 5,
		Output:   s.bytes("out", t.begin.Turn),
	}
	t.lastSentMs = s.nowMs
	return Command{End: t.end}, true
}

// retry repeats a begin or an end, or sends an end that differs from the first.
func (s *script) retry() (Command, bool) {
	var fresh []*scriptTurn
	for _, t := range s.turns {
		if s.nowMs-t.lastSentMs <= retryMs {
			fresh = append(fresh, t)
		}
	}
	if len(fresh) == 0 {
		return Command{}, false
	}
	t := fresh[s.choose(len(fresh))]
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

// bytes gives a turn's input or output; some are empty.
func (s *script) bytes(kind, turn string) []byte {
	if s.choose(8) == 0 {
		return nil
	}
	return slices.Concat([]byte("["), []byte(kind), []byte(turn), []byte("]"))
}
