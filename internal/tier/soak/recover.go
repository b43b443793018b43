package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/standin"
)

// errOnce ends a program at the first turn that isn't served.
var errOnce = errors.New("sent once")

// recover measures how the tier comes back, from the start of the last process on.
func (r *run) recover(ctx context.Context, back time.Time) {
	waited := cpuWait()
	var measured sync.WaitGroup
	served := make([]time.Duration, len(r.clients.fronts))
	for at := range r.clients.fronts {
		measured.Go(func() { served[at] = r.probe(ctx, at, back) })
	}
	measured.Go(func() {
		r.result.Owned = r.within(ctx, back, RecoveryBound, "RECOVER", "owners of all groups", func() bool { return r.groups(ctx).owned == r.shards })
		r.result.Whole = r.within(ctx, back, wholeBound, "WHOLE", "all replicas", func() bool { return r.groups(ctx).whole == r.shards })
	})
	measured.Go(func() {
		r.within(ctx, back, RecoveryBound, "RECOVER", "an order", func() bool { return r.operator.order(ctx) })
		for _, controller := range r.controllers() {
			r.within(ctx, back, RecoveryBound, "SILENT", "a read at "+controller, func() bool { return r.operator.read(ctx, controller) })
		}
		for _, front := range r.clients.fronts {
			r.within(ctx, back, RecoveryBound, "RECOVER", "the newest configuration at "+front, func() bool { return r.serves(ctx, front) })
		}
	})
	measured.Wait()
	pressure := (cpuWait() - waited).Seconds() / time.Since(back).Seconds()
	r.tell("recovered: %v", r.noteRecovery(pressure, served))
}

// noteRecovery enters what a recovery took into the result and returns its text. Reads that are under way still count there.
func (r *run) noteRecovery(pressure float64, served []time.Duration) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.result.Pressure = pressure
	for _, took := range served {
		r.result.AllServed = max(r.result.AllServed, took)
	}
	return r.result.Text()
}

// cpuWait is how long something on the machine has waited for a processor, as the kernel tells; 0 if it doesn't.
func cpuWait() time.Duration {
	content, _ := os.ReadFile("/proc/pressure/cpu")
	_, total, _ := strings.Cut(string(content), "total=")
	total, _, _ = strings.Cut(total, "\n")
	microseconds, _ := strconv.ParseInt(total, 10, 64)
	return time.Duration(microseconds) * time.Microsecond
}

// within waits until something holds, some time after a moment at most, and returns how long it took.
func (r *run) within(ctx context.Context, since time.Time, bound time.Duration, kind, what string, holds func() bool) time.Duration {
	if !r.until(ctx, time.Until(since.Add(bound)), holds) {
		r.violate(kind, "%s: not within %v; %v", what, bound, r.groups(ctx))
	}
	return time.Since(since)
}

// serves tells whether a proxy serves the route that only the newest configuration has.
func (r *run) serves(ctx context.Context, front string) bool {
	r.operator.mutex.Lock()
	newest := r.operator.acked
	r.operator.mutex.Unlock()
	return r.tier.Expect(ctx, front, markPrefix(newest)+"a", fmt.Sprintf("look-%s-%d", front, time.Now().UnixNano()), http.StatusOK) == nil
}

// probe sends new turns and calls to a proxy, each once, until nearly all are served for some time, and returns when that began.
func (r *run) probe(ctx context.Context, at int, back time.Time) time.Duration {
	front := r.clients.fronts[at]
	var since time.Time // begin of the stretch
	sent, served, tries := 0, 0, 0
	var last standin.Outcome
	for time.Since(back) < RecoveryBound+servedTime {
		outcome := r.clients.play(ctx, standin.ProgramOptions{Address: front, Turns: 1, Tools: 1, Backoff: func(context.Context) error { return errOnce }})
		isServed := outcome.State == standin.Finished
		tries++
		if isServed && since.IsZero() {
			since = time.Now()
			r.noteServed(front, since.Sub(back))
		}
		sent++
		if isServed {
			served++
		} else {
			last = outcome
		}
		if float64(served) < servedShare*float64(sent) { // the stretch ends
			sent, served, since = 0, 0, time.Time{}
		}
		if !since.IsZero() && time.Since(since) > servedTime {
			return since.Sub(back)
		}
		_ = localtier.Pause(ctx, probePause)
	}
	r.violate("RECOVER", "%s does not serve %.0f %% of new turns and calls %v after all was back, of %d tries; last failure: %s", front, 100*servedShare,
		RecoveryBound, tries, describe(last))
	return time.Since(back)
}

// noteServed keeps the time of the first turn that a proxy served.
func (r *run) noteServed(front string, took time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, known := r.result.FirstServed[front]; !known {
		r.result.FirstServed[front] = took
	}
}

// describe tells the answers that a program got.
func describe(outcome standin.Outcome) string {
	var answers []string
	for _, turn := range outcome.Turns {
		answers = append(answers, fmt.Sprintf("turn %s: %d whole=%t %s", turn.Attempt, turn.Status, turn.Complete, turn.Problem))
	}
	for _, tool := range outcome.Tools {
		answers = append(answers, fmt.Sprintf("call %s: %d whole=%t %s", tool.Attempt, tool.Status, tool.Complete, tool.Problem))
	}
	return strings.Join(answers, "; ")
}

// check goes on from turns that were answered whole, and looks at all that programs saw.
func (r *run) check(ctx context.Context) {
	turns := r.clients.wholeTurns()
	r.mutex.Lock()
	r.result.Served = len(turns)
	r.random.Shuffle(len(turns), func(a, b int) { turns[a], turns[b] = turns[b], turns[a] })
	r.mutex.Unlock()
	turns = turns[:min(len(turns), mostContinued)]
	var lanes sync.WaitGroup
	for lane := range continueLanes {
		lanes.Go(func() {
			for at := lane; at < len(turns); at += continueLanes {
				r.continueTurn(ctx, turns[at])
			}
		})
	}
	lanes.Wait()
	r.result.Continued = len(turns)
	r.around.Close() // no run is under way any more
	r.clients.mutex.Lock()
	played := r.clients.played
	r.clients.mutex.Unlock()
	r.result.Programs, r.result.Orders = len(played), int(r.operator.acked)
	for _, p := range played {
		r.result.Turns += len(p.Outcome.Turns)
		for _, turn := range p.Outcome.Turns {
			if turn.Status == http.StatusGone {
				r.violate("LOST", "turn %s was answered 410", turn.Attempt)
			}
		}
	}
	terms := standin.Guarantees{MaxTokens: mostTokens, TokensPerEvent: localtier.TokensPerEvent, Retention: keepFor}
	for _, violation := range standin.CheckPrograms(played, r.around.Ledger, terms) {
		kind, text, _ := strings.Cut(violation, ": ")
		r.violate(kind, "%s", text)
	}
	for _, attempt := range r.around.Ledger.Duplicates() {
		r.violate("TWICE", "attempt %s ran twice", attempt)
	}
	r.tell("checked: %v", r.result.Text())
}

// continueTurn goes on from a turn, which must succeed.
func (r *run) continueTurn(ctx context.Context, from standin.Turn) {
	var last standin.Outcome
	for range continueTries {
		last = r.clients.play(ctx, standin.ProgramOptions{Address: r.clients.fronts[r.intN(len(r.clients.fronts))], Turns: 1, ContinueFrom: from,
			Backoff: func(ctx context.Context) error { return localtier.Pause(ctx, resendPause) }})
		if last.State == standin.Finished {
			return
		}
	}
	r.violate("LOST", "turn %s can't be gone on from, answered whole %v ago: %s", from.Attempt, time.Since(from.Ended).Round(time.Second), describe(last))
}
