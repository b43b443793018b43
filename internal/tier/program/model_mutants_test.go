package program

import (
	"math/rand/v2"
	"testing"
)

// mutant is a machine with one mistake, which is made before or after each command.
type mutant struct {
	*Machine
	before func(m *Machine, command Command)
	after  func(m *Machine, command Command, result Result)
}

func (w *mutant) Apply(command Command) Result {
	if w.before != nil {
		w.before(w.Machine, command)
	}
	result := w.Machine.Apply(command)
	if w.after != nil {
		w.after(w.Machine, command, result)
	}
	return result
}

// mutants are machines that must differ from the model.
var mutants = []struct {
	name  string
	build func() *mutant
}{
	{"a retried BeginTurn reserves again", func() *mutant {
		return &mutant{Machine: New(), before: func(m *Machine, command Command) {
			if command.Begin == nil {
				return
			}
			if t := m.turns[command.Begin.Turn]; t != nil && t.program != nil {
				t.program.reserved += t.reservedTokens
			}
		}}
	}},
	{"a retried BeginTurn of a discarded turn begins it anew", func() *mutant {
		return &mutant{Machine: New(), before: func(m *Machine, command Command) {
			if command.Begin == nil {
				return
			}
			if t := m.turns[command.Begin.Turn]; t != nil && t.state == discarded {
				delete(m.turns, t.name)
			}
		}}
	}},
	{"a later EndTurn replaces the first", func() *mutant {
		return &mutant{Machine: New(), before: func(m *Machine, command Command) {
			if command.End == nil {
				return
			}
			if t := m.turns[command.End.Turn]; t != nil && t.state != inFlight {
				t.state = inFlight
			}
		}}
	}},
	{"a rejected turn keeps its reservation", func() *mutant {
		return &mutant{Machine: New(), after: func(m *Machine, command Command, result Result) {
			if result.Verdict == TurnNotFound && command.Begin.Program != "" {
				m.programs.byName[command.Begin.Program].reserved += max(command.Begin.MaxTokens, 0)
			}
		}}
	}},
	{"an abandoned turn releases its reservation", func() *mutant {
		return &mutant{Machine: New(), after: func(m *Machine, _ Command, _ Result) {
			for _, p := range m.programs.byName {
				if p.inFlight == 0 {
					p.reserved = 0
				}
			}
		}}
	}},
	{"ancestors expire when their own retention is over", func() *mutant {
		return &mutant{Machine: New(), after: func(m *Machine, _ Command, _ Result) {
			for _, t := range m.turns {
				if t.queueIndex == notQueued {
					m.contentBytes -= int64(len(t.input))
					t.input = nil
				}
			}
		}}
	}},
	{"the clock advances without a bound", func() *mutant {
		return &mutant{Machine: New(), before: func(m *Machine, command Command) {
			atMs := int64(0)
			if command.Begin != nil {
				atMs = command.Begin.AtMs
			} else {
				atMs = command.End.AtMs
			}
			m.clock.nowMs = max(m.clock.nowMs, atMs)
		}}
	}},
	{"a budget record with reservations never expires", func() *mutant {
		return &mutant{Machine: New(), after: func(m *Machine, _ Command, _ Result) {
			for _, p := range m.programs.byName {
				if p.reserved > 0 {
					m.programs.touch(p, m.clock.nowMs)
				}
			}
		}}
	}},
}

func TestModel_MutatedMachine_IsCaught(t *testing.T) {
	const attempts = 400
	for _, test := range mutants {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(attempts) {
				random := rand.New(rand.NewPCG(seed, 1))
				maxGapMs := []int{400, 15_000}[seed%2]
				steps := writeScript(random.IntN, 80, maxGapMs)
				mutated := test.build()
				if runScript(mutated, steps) != nil || drain(mutated, steps) != nil {
					return
				}
			}
			t.Errorf("%d scripts show no difference from the model", attempts)
		})
	}
}

func TestModel_CorrectMachine_IsNotCaught(t *testing.T) {
	for seed := range uint64(80) {
		random := rand.New(rand.NewPCG(seed, 1))
		steps := writeScript(random.IntN, 80, []int{400, 15_000}[seed%2])
		machine := New()
		if err := runScript(machine, steps); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if err := drain(machine, steps); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}
