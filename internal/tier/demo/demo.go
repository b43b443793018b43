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

// ViolationError tells what went against the rules.
type ViolationError struct {
	Problems []string
}

// Error lists the problems, one a line.
func (e *ViolationError) Error() string { return strings.Join(e.Problems, "\n") }

// run is the state of one run.
type run struct {
	options     Options
	started     time.Time
	environment *localtier.Environment
	tier        *localtier.Tier
	operator    *localtier.Operator
	violations  []string
}

// Run plays the whole example. Its error is a *ViolationError if something went against the rules. All processes have
// ended when it returns.
func Run(ctx context.Context, options Options) (err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	r := &run{options: options, started: time.Now()}
	if r.environment, err = localtier.StartEnvironment(); err != nil {
		return err
	}
	defer r.environment.Close()
	if r.tier, err = startTier(options.Binary, options.Folder, r.environment.Platform.Address()); err != nil {
		return err
	}
	failed := r.scenario(ctx)
	r.violations = append(r.violations, localtier.UnexpectedExits(r.tier.Processes)...)
	r.violations = append(r.violations, localtier.Stop(r.tier.Processes, localtier.StopTimeout)...)
	r.report("all processes have ended")
	if len(r.violations) > 0 {
		failed = multierr.Append(failed, &ViolationError{Problems: r.violations})
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
		return localtier.Configuration(number, retention, localtier.ToolRoute("later-tools", "/later-tools/"))
	}
	return localtier.Configuration(number, retention)
}

// laterToolPath is on the route that comes with the second configuration.
const laterToolPath = "/later-tools/a"

// report writes one line of the report.
func (r *run) report(format string, values ...any) {
	fmt.Fprintf(r.options.Report, "%6.2f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// recordViolations notes what went against the rules.
func (r *run) recordViolations(problems ...string) {
	for _, problem := range problems {
		r.report("BROKEN: %s", problem)
	}
	r.violations = append(r.violations, problems...)
}

// scenario plays the steps. It goes on after a breach, and ends with what can't be gone on from.
func (r *run) scenario(ctx context.Context) error {
	r.report("%d processes on %d machines", len(r.tier.Processes), len(r.tier.Machines))
	r.operator = localtier.NewOperator(r.tier.Addresses(localtier.CoreClass, localtier.ControlPort), nil)
	if _, err := r.operator.Configure(ctx, configuration(1), 0); err != nil {
		return fmt.Errorf("the first configuration: %w", err)
	}
	r.report("configuration 1 is acknowledged")
	if err := r.tier.WaitReady(ctx); err != nil {
		return err
	}
	r.report("all proxies are ready")
	fronts := r.tier.Addresses(localtier.EdgeClass, localtier.FrontPort)
	before := r.runProgram(ctx, standin.ProgramOptions{Name: "before", Address: fronts[0], Turns: 4, Tools: 2, Subagents: 2, SubagentTurns: 2}, standin.Finished)
	r.exceedBudget(ctx, "spender", fronts[1])
	if err := r.killLeaders(ctx); err != nil {
		return err
	}
	r.runProgram(ctx, standin.ProgramOptions{Name: "after", Address: fronts[1], Turns: 4, Tools: 2, Subagents: 1, SubagentTurns: 2,
		ContinueFrom: lastCompleteTurn(before)}, standin.Finished)
	if err := r.reconfigure(ctx); err != nil {
		return err
	}
	r.exceedBudget(ctx, "late-spender", fronts[0])
	for _, attempt := range r.environment.RunLog.Duplicates() {
		r.recordViolations("attempt " + attempt + " ran twice")
	}
	return nil
}

// runProgram runs one program that remembers its turns, and checks its end and all that it saw.
func (r *run) runProgram(ctx context.Context, program standin.ProgramOptions, want standin.State) standin.Outcome {
	program.Host, program.TurnPath, program.ToolPath, program.Model = localtier.Host, localtier.TurnPath, localtier.ToolPath, localtier.ModelName
	program.MaxTokens = maxTokens
	program.Timeout, program.RequestTimeout = programTimeout, localtier.RequestTimeout
	program.Stateful = true
	program.Backoff = func(ctx context.Context) error { return localtier.Sleep(ctx, retryBackoff) }
	outcome := standin.NewProgram(program).Run(ctx)
	r.recordViolations(outcome.Check(r.environment.RunLog)...)
	if outcome.State != want {
		r.recordViolations(fmt.Sprintf("program %s ended as %s, not as %s: statuses %v", program.Name, outcome.State, want, statuses(outcome)))
	}
	r.report("program %s: %s, %d turns, %d tool calls, %d events; chains, bodies and seals checked",
		program.Name, outcome.State, len(outcome.Turns), len(outcome.Tools), outcome.Events())
	return outcome
}

// maxTokens is the most that one turn generates; it generates all of them.
const maxTokens = 30

// exceedBudget runs a program that wants more tokens than it may generate.
func (r *run) exceedBudget(ctx context.Context, name, front string) {
	const budget = 2*maxTokens + maxTokens/2
	r.runProgram(ctx, standin.ProgramOptions{Name: name, Address: front, Turns: 6, Tools: 1, Budget: budget}, standin.BudgetSpent)
	generated := r.environment.RunLog.Tokens(name)
	if generated > budget {
		r.recordViolations(fmt.Sprintf("program %s generated %d tokens with a budget of %d", name, generated, budget))
	}
	r.report("program %s: %d tokens of its budget of %d generated", name, generated, budget)
}

// killLeaders kills the controller that owns the configuration and the store that owns the most shards, at the same time.
func (r *run) killLeaders(ctx context.Context) error {
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
	r.report("killed: %v, which owned the configuration, and %v, which owned %d of %d shards", controller, store, owned, all)
	return nil
}

// reconfigure reads the first configuration back from those left, and takes the second one into force.
func (r *run) reconfigure(ctx context.Context) error {
	read, err := r.operator.ReadBack(ctx)
	if err != nil {
		return fmt.Errorf("reading the configuration back: %w", err)
	}
	if !localtier.SameConfiguration(read, configuration(1)) {
		r.recordViolations(fmt.Sprintf("the acknowledged configuration is gone: read back %+v", read))
	}
	if _, err := r.operator.Configure(ctx, configuration(2), 1); err != nil {
		return fmt.Errorf("the second configuration: %w", err)
	}
	if err := r.tier.WaitRoute(ctx, laterToolPath); err != nil {
		return err
	}
	r.report("configuration 1 was read back; 2 is acknowledged and in force on all proxies")
	return nil
}

// lastCompleteTurn gives the last turn whose whole answer came.
func lastCompleteTurn(outcome standin.Outcome) standin.Turn {
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
