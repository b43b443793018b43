package program

import (
	"bytes"
	"fmt"
)

// Spans, in true milliseconds, in which a machine must answer as the model does. Outside of them its state may have expired.
const (
	modelInFlightMs = 2 * 60_000
	modelEndedMs    = 30_000
)

// modelTurn is a turn with a complete copy of its chain.
type modelTurn struct {
	program       string
	maxTokens     int64
	remembered    bool
	retentionMs   int64
	previousChain []byte // the chain up to it
	input         []byte
	chain         []byte // with it, once it is complete
	ended         bool
	complete      bool
	atMs          int64 // true time of its last command that changed it
}

type modelProgram struct{ limit, spent, reserved int64 }

// model is the simplest machine: it copies every chain, nothing expires, and it knows the true time.
type model struct {
	turns    map[string]*modelTurn
	imported map[string][]byte
	programs map[string]*modelProgram
}

func newModel() *model {
	return &model{
		turns:    map[string]*modelTurn{},
		imported: map[string][]byte{},
		programs: map[string]*modelProgram{},
	}
}

// apply applies a command and checks a machine's result.
func (r *model) apply(command Command, trueMs int64, got Result) error {
	if command.Begin != nil {
		return r.applyBegin(command.Begin, trueMs, got)
	}
	return r.applyEnd(command.End, trueMs, got)
}

func (r *model) applyBegin(begin *BeginTurn, trueMs int64, got Result) error {
	if t := r.turns[begin.Turn]; t != nil {
		return compareResults(got, Result{Verdict: Accepted, Chain: t.previousChain})
	}
	p := r.programs[begin.Program]
	if p == nil {
		p = &modelProgram{}
		if begin.Program != "" {
			r.programs[begin.Program] = p
		}
	}
	if begin.Budget > 0 && (p.limit == 0 || begin.Budget < p.limit) {
		p.limit = begin.Budget
	}
	maxTokens := max(begin.MaxTokens, 0)
	if begin.Program != "" && p.limit > 0 && p.spent+p.reserved+maxTokens > p.limit {
		return compareResults(got, Result{Verdict: BudgetExceeded})
	}
	t := &modelTurn{program: begin.Program, maxTokens: maxTokens, remembered: begin.Remembered, atMs: trueMs}
	if begin.Remembered {
		t.retentionMs = int64(begin.KeepForS * 1000)
		t.input = begin.Input
		if refused, err := r.findPrevious(t, begin, trueMs, got); refused {
			return err
		}
	}
	r.turns[begin.Turn] = t
	p.reserved += maxTokens
	return compareResults(got, Result{Verdict: Accepted, Chain: t.previousChain})
}

// findPrevious sets the chain that a turn continues, and reports whether the turn is rejected since there is none.
func (r *model) findPrevious(t *modelTurn, begin *BeginTurn, trueMs int64, got Result) (isRejected bool, err error) {
	if begin.Previous == "" {
		return false, nil
	}
	previous := r.turns[begin.Previous]
	isComplete := previous != nil && previous.complete
	imported := r.imported[begin.Previous]
	switch {
	case isComplete && trueMs <= previous.atMs+previous.retentionMs:
		t.previousChain = previous.chain
	case got.Verdict == TurnNotFound:
		if len(begin.Imported) > 0 {
			return true, fmt.Errorf("an imported chain was rejected")
		}
		return true, nil
	case isComplete:
		t.previousChain = previous.chain
	case imported != nil:
		t.previousChain = imported
	case len(begin.Imported) > 0:
		t.previousChain = begin.Imported
		r.imported[begin.Previous] = begin.Imported
	default:
		return true, compareResults(got, Result{Verdict: TurnNotFound})
	}
	return false, nil
}

func (r *model) applyEnd(end *EndTurn, trueMs int64, got Result) error {
	t := r.turns[end.Turn]
	if t == nil {
		return compareResults(got, Result{Verdict: UnknownTurn})
	}
	if t.ended {
		if end.Complete && t.remembered && !t.complete {
			return compareResults(got, Result{Verdict: UnknownTurn})
		}
		return compareResults(got, Result{Verdict: Accepted})
	}
	if got.Verdict == UnknownTurn && trueMs > t.atMs+modelInFlightMs {
		delete(r.turns, end.Turn) // its relay abandoned it for so long that it begins anew; what it reserved counts
		return nil
	}
	t.ended = true
	t.atMs = trueMs
	if p := r.programs[t.program]; p != nil {
		p.reserved -= t.maxTokens
		p.spent += min(max(end.Tokens, 0), t.maxTokens)
	}
	if end.Complete && t.remembered {
		t.complete = true
		t.chain = bytes.Join([][]byte{t.previousChain, t.input, end.Output}, nil)
	}
	return compareResults(got, Result{Verdict: Accepted})
}

func compareResults(got, want Result) error {
	if got.Verdict != want.Verdict {
		return fmt.Errorf("verdict %s, want %s", got.Verdict, want.Verdict)
	}
	if !bytes.Equal(got.Chain, want.Chain) {
		return fmt.Errorf("chain %q, want %q", got.Chain, want.Chain)
	}
	return nil
}

// check compares a machine's state with what it must have at a true time.
func (r *model) check(m *Machine, trueMs int64) error {
	for name, p := range r.programs {
		record := m.programs.byName[name]
		if record == nil {
			return fmt.Errorf("program %s has expired", name)
		}
		got := modelProgram{limit: record.limit, spent: record.spent, reserved: record.reserved}
		if got != *p {
			return fmt.Errorf("program %s is %+v, want %+v", name, got, *p)
		}
	}
	for name, t := range r.turns {
		chain, found := m.Chain(name)
		if found && (!t.complete || !bytes.Equal(chain, t.chain)) {
			return fmt.Errorf("turn %s has chain %q, want %q (complete: %v)", name, chain, t.chain, t.complete)
		}
		if !found && t.complete && trueMs <= t.atMs+t.retentionMs {
			return fmt.Errorf("turn %s has expired %d ms after its end, its retention is %d", name, trueMs-t.atMs, t.retentionMs)
		}
	}
	return nil
}
