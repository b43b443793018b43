package program

import (
	"bytes"
	"fmt"
)

// How long after its last command a turn must be retained, in milliseconds of true time. After that a machine may differ from the
// model, since the turn may have expired.
const (
	modelInFlightMs = 2 * 60_000
	modelEndedMs    = 30_000
)

// modelTurn is a turn with a copy of its whole chain.
type modelTurn struct {
	program       string
	maxTokens     int64
	remembered    bool
	retentionMs   int64
	previousChain []byte // the chain that the turn continues
	input         []byte
	chain         []byte // the chain including this turn; set when the turn is complete
	ended         bool
	complete      bool
	atMs          int64 // true time of the last command that changed the turn
}

type modelProgram struct{ limit, spent, reserved int64 }

// model is a simple implementation to compare a machine with: it copies every chain, expires nothing and knows the true time.
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

// apply applies a command, and checks the result that a machine returned for it.
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
		if isRejected, err := r.findPrevious(t, begin, trueMs, got); isRejected {
			return err
		}
	}
	r.turns[begin.Turn] = t
	p.reserved += maxTokens
	return compareResults(got, Result{Verdict: Accepted, Chain: t.previousChain})
}

// findPrevious sets the chain that a turn continues, and reports whether the turn is rejected since that chain isn't found. An
// expired chain may be missing, so then the machine's result decides.
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
			return true, fmt.Errorf("a turn with an imported chain was rejected")
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
		delete(r.turns, end.Turn) // its relay abandoned the turn, which may have expired; its reservation stays
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

// check compares a machine's state with the state that it must have at a true time.
func (r *model) check(m *Machine, trueMs int64) error {
	for name, p := range r.programs {
		record := m.programs.byName[name]
		if record == nil {
			return fmt.Errorf("program %s has expired", name)
		}
		got := modelProgram{limit: record.limit, spent: record.spent, reserved: record.reserved}
		if got != *p {
			return fmt.Errorf("program %s has %+v, want %+v", name, got, *p)
		}
	}
	for name, t := range r.turns {
		chain, found := m.Chain(name)
		if found && (!t.complete || !bytes.Equal(chain, t.chain)) {
			return fmt.Errorf("turn %s has chain %q, want %q (complete: %v)", name, chain, t.chain, t.complete)
		}
		if !found && t.complete && trueMs <= t.atMs+t.retentionMs {
			return fmt.Errorf("turn %s has expired %d ms after its end, want a retention of %d ms", name, trueMs-t.atMs, t.retentionMs)
		}
	}
	return nil
}
