package localtier

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// maxConcurrentTurns bounds the turns that are sent at the same time.
const maxConcurrentTurns = 8

// concurrently calls a function for each item, up to maxConcurrentTurns at the same time, and returns once all calls have returned.
func concurrently[T any](items []T, call func(T)) {
	var running sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentTurns)
	for _, item := range items {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			call(item)
		})
	}
	running.Wait()
}

// maxTurnTokens bounds the output of the turns that continue others.
const maxTurnTokens = 30

// checkTurns continues every complete turn so far by a new one, which must reach a model server with the inputs and outputs of all turns
// before it. A turn that has not completed can't be continued.
func (r *formerBuildRun) checkTurns(restart string) {
	r.t.Helper()
	input := "after the " + restart + " restart\n"
	added := make(chan formerBuildTurn, len(r.chains))
	concurrently(slices.Sorted(maps.Keys(r.chains)), func(previous string) {
		turn, err := r.takeTurn(formerBuildTurn{program: "continues-" + previous, previous: previous, input: input, maxTokens: maxTurnTokens})
		if err != nil || turn.status != http.StatusOK || turn.tokens != maxTurnTokens {
			r.t.Errorf("a turn that continues %s got %d and %d tokens, %v", previous, turn.status, turn.tokens, err)
			return
		}
		r.checkPrompt(turn.attempt, r.chains[previous]+input)
		added <- turn
	})
	close(added)
	for turn := range added {
		r.chains[turn.attempt] = r.chains[turn.previous] + input + turn.output
	}
	concurrently(r.acknowledged.incompleteTurns(), func(previous string) {
		turn, err := r.takeTurn(formerBuildTurn{program: "continues-" + previous, previous: previous, input: input, maxTokens: maxTurnTokens})
		if err != nil || turn.status != http.StatusNotFound {
			r.t.Errorf("a turn that continues %s, which has not completed, got %d, %v", previous, turn.status, err)
		}
	})
}

// checkPrompt checks that an attempt ran once, with the wanted prompt.
func (r *formerBuildRun) checkPrompt(attempt, want string) {
	r.t.Helper()
	runs := r.environment.RunLog.Runs(attempt)
	if len(runs) != 1 {
		r.t.Errorf("%s ran %d times", attempt, len(runs))
	}
	for _, run := range runs {
		if got := string(run.Body); got != want {
			r.t.Errorf("%s ran with %d bytes, not the %d expected: %.200q, want %.200q", attempt, len(got), len(want), got, want)
		}
	}
}

// exhaustBudgets checks to the token how much is left of each budget, and uses it up. The requests don't state the budget, so that the
// stored one applies.
func (r *formerBuildRun) exhaustBudgets() {
	r.t.Helper()
	concurrently(r.acknowledged.budgetedPrograms(), func(program acknowledgedProgram) {
		left := program.Budget - program.usedTokens()
		r.checkBudgetExceeded(program, left+1)
		turn, err := r.takeTurn(formerBuildTurn{program: program.Name, input: "just enough\n", maxTokens: left})
		if err != nil || turn.status != http.StatusOK || turn.tokens != left-left%TokensPerEvent {
			r.t.Errorf("%s has %d tokens left of %d, and a turn of as many got %d and %d tokens, %v", program.Name, left, program.Budget,
				turn.status, turn.tokens, err)
		}
	})
}

// checkBudgetsExhausted checks that no budget suffices for one more event.
func (r *formerBuildRun) checkBudgetsExhausted() {
	r.t.Helper()
	concurrently(r.acknowledged.budgetedPrograms(), func(program acknowledgedProgram) {
		r.checkBudgetExceeded(program, TokensPerEvent)
	})
}

// checkBudgetExceeded checks that a turn is rejected because of its program's budget.
func (r *formerBuildRun) checkBudgetExceeded(program acknowledgedProgram, maxTokens int64) {
	turn, err := r.takeTurn(formerBuildTurn{program: program.Name, input: "too much\n", maxTokens: maxTokens})
	if err != nil || turn.status != http.StatusPaymentRequired {
		r.t.Errorf("a turn of %s with up to %d tokens, more than is left of %d, got %d, %v", program.Name, maxTokens, program.Budget, turn.status, err)
	}
}

// formerBuildTurn is a turn to send, and then its response.
type formerBuildTurn struct {
	program, attempt, previous, input string
	maxTokens                         int64

	status int
	output string
	tokens int64 // received
}

// nextAttempt returns a new number and an attempt ID with it.
func (r *formerBuildRun) nextAttempt(prefix string) (number int, attempt string) {
	number = int(r.lastAttempt.Add(1))
	return number, fmt.Sprintf("%s-again-%d", prefix, number)
}

// takeTurn sends a turn through one proxy after the other, each time under a new attempt ID, as long as the response says that the
// turn has not run.
func (r *formerBuildRun) takeTurn(turn formerBuildTurn) (formerBuildTurn, error) {
	ctx, cancel := contextWithTimeout(r.t)
	defer cancel()
	proxies := r.tier.Addresses(EdgeClass, FrontPort)
	var broken error // error of a missing or incomplete response, after which the turn may have run
	err := Poll(ctx, func(int) error {
		var number int
		number, turn.attempt = r.nextAttempt(turn.program)
		broken = r.sendTurn(proxies[number%len(proxies)], &turn)
		switch turn.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout: // the turn has not run
			return fmt.Errorf("status %d", turn.status)
		}
		return nil
	})
	return turn, errors.Join(err, broken)
}

// sendTurn sends a turn once and enters the response into it.
func (r *formerBuildRun) sendTurn(proxy string, turn *formerBuildTurn) error {
	turn.status, turn.output, turn.tokens = 0, "", 0
	request, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, "http://"+proxy+TurnPath, strings.NewReader(turn.input))
	if err != nil {
		return err
	}
	request.Host = Host
	for name, value := range map[string]string{
		"X-Attempt-Id": turn.attempt, "Program": turn.program, "Session": "0", "X-Model": ModelName,
		"X-Time-Left-Ms": strconv.FormatInt(RequestTimeout.Milliseconds(), 10),
		"X-Token-Counts": fmt.Sprintf("%d,%d", len(turn.input), turn.maxTokens),
	} {
		request.Header.Set(name, value)
	}
	if turn.previous != "" {
		request.Header.Set("Previous", turn.previous)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	turn.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found && turn.status == http.StatusOK {
			turn.output += data + "\n"
			turn.tokens += TokensPerEvent
		}
	}
	return lines.Err()
}
