package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.uber.org/multierr"

	"mastusher/internal/tier/localtier"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/standin"
)

// Options of a run.
type Options struct {
	Binary string    // mastusher-tier
	Folder string    // for settings, disks and logs
	Report io.Writer // takes one line for each step
}

// BreachError tells what went against the rules.
type BreachError struct {
	Problems []string
}

// Error lists the problems, one a line.
func (e *BreachError) Error() string { return strings.Join(e.Problems, "\n") }

// run is the state of one run.
type run struct {
	options  Options
	began    time.Time
	around   *localtier.Surroundings
	tier     *localtier.Tier
	operator *localtier.Operator
	problems []string
}

// Run plays the whole example. Its error is a *BreachError if something went against the rules. All processes have
// ended when it returns.
func Run(ctx context.Context, options Options) (err error) {
	ctx, cancel := context.WithTimeout(ctx, wholePatience)
	defer cancel()
	r := &run{options: options, began: time.Now()}
	if r.around, err = localtier.Surround(); err != nil {
		return err
	}
	defer r.around.Close()
	if r.tier, err = startTier(options.Binary, options.Folder, r.around.Platform.Address()); err != nil {
		return err
	}
	failed := r.story(ctx)
	r.problems = append(r.problems, localtier.Unexpected(r.tier.Processes)...)
	r.problems = append(r.problems, localtier.Stop(r.tier.Processes, localtier.StopPatience)...)
	r.tell("all processes have ended")
	if len(r.problems) > 0 {
		failed = multierr.Append(failed, &BreachError{Problems: r.problems})
	}
	return failed
}

// startTier starts the example's processes.
func startTier(binary, folder, platform string) (*localtier.Tier, error) {
	return localtier.Start(localtier.Options{Command: []string{binary}, Folder: folder, Platform: platform,
		Counts: localtier.Counts{Core: coreMachines, Storage: storageMachines, Edge: edgeMachines}})
}

// configuration gives a version of the operator's configuration; from the second on there is one more route.
func configuration(number uint64) model.Configuration {
	if number > 1 {
		return localtier.Configuration(number, keepFor, localtier.ToolRoute("later-tools", "/later-tools/"))
	}
	return localtier.Configuration(number, keepFor)
}

// laterToolPath is on the route that comes with the second configuration.
const laterToolPath = "/later-tools/a"

// tell writes one line of the report.
func (r *run) tell(format string, values ...any) {
	fmt.Fprintf(r.options.Report, "%6.2f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// breach notes what went against the rules.
func (r *run) breach(problems ...string) {
	for _, problem := range problems {
		r.tell("BROKEN: %s", problem)
	}
	r.problems = append(r.problems, problems...)
}

// story plays the steps. It goes on after a breach, and ends with what can't be gone on from.
func (r *run) story(ctx context.Context) error {
	r.tell("%d processes on %d machines", len(r.tier.Processes), len(r.tier.Machines))
	r.operator = localtier.NewOperator(r.tier.Addresses(localtier.CoreClass, localtier.ControlPort), nil)
	if _, err := r.operator.Configure(ctx, configuration(1), 0); err != nil {
		return fmt.Errorf("the first configuration: %w", err)
	}
	r.tell("configuration 1 is acknowledged")
	if err := r.tier.WaitReady(ctx); err != nil {
		return err
	}
	r.tell("all proxies are ready")
	fronts := r.tier.Addresses(localtier.EdgeClass, localtier.FrontPort)
	before := r.play(ctx, standin.ProgramOptions{Name: "before", Address: fronts[0], Turns: 4, Tools: 2, Subagents: 2, SubagentTurns: 2}, standin.Finished)
	r.spend(ctx, "spender", fronts[1])
	if err := r.lose(ctx); err != nil {
		return err
	}
	r.play(ctx, standin.ProgramOptions{Name: "after", Address: fronts[1], Turns: 4, Tools: 2, Subagents: 1, SubagentTurns: 2,
		ContinueFrom: lastFinished(before)}, standin.Finished)
	if err := r.reconfigure(ctx); err != nil {
		return err
	}
	r.spend(ctx, "late-spender", fronts[0])
	for _, attempt := range r.around.Ledger.Duplicates() {
		r.breach("attempt " + attempt + " ran twice")
	}
	return nil
}

// play runs one program that remembers its turns, and checks its end and all that it saw.
func (r *run) play(ctx context.Context, program standin.ProgramOptions, want standin.State) standin.Outcome {
	program.Host, program.TurnPath, program.ToolPath, program.Model = localtier.Host, localtier.TurnPath, localtier.ToolPath, localtier.ModelName
	program.MaxTokens = mostTokens
	program.Timeout, program.RequestTimeout = programPatience, localtier.RequestPatience
	program.Stateful = true
	program.Backoff = func(ctx context.Context) error { return localtier.Pause(ctx, resendPause) }
	outcome := standin.NewProgram(program).Run(ctx)
	r.breach(outcome.Check(r.around.Ledger)...)
	if outcome.State != want {
		r.breach(fmt.Sprintf("program %s ended as %s, not as %s: statuses %v", program.Name, outcome.State, want, statuses(outcome)))
	}
	r.tell("program %s: %s, %d turns, %d tool calls, %d events; chains, bodies and seals checked",
		program.Name, outcome.State, len(outcome.Turns), len(outcome.Tools), outcome.Events())
	return outcome
}

// mostTokens is the most that one turn generates; it generates all of them.
const mostTokens = 30

// spend runs a program that wants more tokens than it may generate.
func (r *run) spend(ctx context.Context, name, front string) {
	const budget = 2*mostTokens + mostTokens/2
	r.play(ctx, standin.ProgramOptions{Name: name, Address: front, Turns: 6, Tools: 1, Budget: budget}, standin.BudgetSpent)
	generated := r.around.Ledger.Tokens(name)
	if generated > budget {
		r.breach(fmt.Sprintf("program %s generated %d tokens with a budget of %d", name, generated, budget))
	}
	r.tell("program %s: %d tokens of its budget of %d generated", name, generated, budget)
}

// lose kills the controller that owns the configuration and the store that owns the most shards, at the same time.
func (r *run) lose(ctx context.Context) error {
	address, err := r.operator.Configure(ctx, configuration(1), 0)
	if err != nil {
		return fmt.Errorf("the first configuration, sent again: %w", err)
	}
	controller, err := r.tier.ControllerAt(address)
	if err != nil {
		return err
	}
	store, owned, all, err := r.tier.BusiestStore(ctx)
	if err != nil {
		return err
	}
	if err := multierr.Append(controller.Kill(ctx), store.Kill(ctx)); err != nil {
		return err
	}
	r.tell("killed: %v, which owned the configuration, and %v, which owned %d of %d shards", controller, store, owned, all)
	return nil
}

// reconfigure reads the first configuration back from those left, and takes the second one into force.
func (r *run) reconfigure(ctx context.Context) error {
	read, err := r.operator.ReadBack(ctx)
	if err != nil {
		return fmt.Errorf("reading the configuration back: %w", err)
	}
	if !localtier.Same(read, configuration(1)) {
		r.breach(fmt.Sprintf("the acknowledged configuration is gone: read back %+v", read))
	}
	if _, err := r.operator.Configure(ctx, configuration(2), 1); err != nil {
		return fmt.Errorf("the second configuration: %w", err)
	}
	if err := r.tier.WaitRoute(ctx, laterToolPath); err != nil {
		return err
	}
	r.tell("configuration 1 was read back; 2 is acknowledged and in force on all proxies")
	return nil
}

// lastFinished gives the last turn whose whole answer came.
func lastFinished(outcome standin.Outcome) standin.Turn {
	for _, turn := range slices.Backward(outcome.Turns) {
		if turn.Status == http.StatusOK && turn.Complete {
			return turn
		}
	}
	return standin.Turn{}
}

// statuses lists the answers that a program got to its turns and calls, each once.
func statuses(outcome standin.Outcome) []int {
	var all []int
	for _, turn := range outcome.Turns {
		all = append(all, turn.Status)
	}
	for _, tool := range outcome.Tools {
		all = append(all, tool.Status)
	}
	slices.Sort(all)
	return slices.Compact(all)
}
