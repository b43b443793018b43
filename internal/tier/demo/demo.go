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
	"mastusher/internal/tier/wait"
)

// Options are the options of a run. All are required.
type Options struct {
	Binary string    // path of mastusher-tier
	Folder string    // for settings, disks and logs
	Report io.Writer // gets a line for each step
}

// ViolationError lists violations of the tier's guarantees.
type ViolationError struct {
	Violations []string
}

// Error returns the violations, one per line.
func (e *ViolationError) Error() string { return strings.Join(e.Violations, "\n") }

// run is the state of one run.
type run struct {
	options     Options
	started     time.Time
	environment *localtier.Environment
	tier        *localtier.Tier
	operator    *localtier.Operator
	violations  []string
}

// Run starts the tier, runs the scenario and stops the tier. Its error wraps a *ViolationError if a guarantee was violated, and
// the error that ended the scenario early, if any. All processes have ended when it returns.
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
		failed = multierr.Append(failed, &ViolationError{Violations: r.violations})
	}
	return failed
}

// startTier starts the demo's processes.
func startTier(binary, folder, platform string) (*localtier.Tier, error) {
	return localtier.Start(localtier.Options{Command: []string{binary}, Folder: folder, Platform: platform,
		Counts: localtier.Counts{Core: coreMachines, Storage: storageMachines, Edge: edgeMachines}})
}

// configuration returns a version of the operator's configuration, which has one more route from version 2 on.
func configuration(number uint64) model.Configuration {
	if number > 1 {
		return localtier.Configuration(number, retention, localtier.ToolRoute("later-tools", "/later-tools/"))
	}
	return localtier.Configuration(number, retention)
}

// laterToolPath is a path on the route that version 2 of the configuration adds.
const laterToolPath = "/later-tools/a"

// report writes one line of the report.
func (r *run) report(format string, values ...any) {
	fmt.Fprintf(r.options.Report, "%6.2f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// recordViolations records and reports violations.
func (r *run) recordViolations(violations ...string) {
	for _, violation := range violations {
		r.report("VIOLATION: %s", violation)
	}
	r.violations = append(r.violations, violations...)
}

// scenario runs the steps. It continues after violations, and returns the error of a step that the following steps depend on.
func (r *run) scenario(ctx context.Context) error {
	r.report("%d processes on %d machines", len(r.tier.Processes), len(r.tier.Machines))
	r.operator = localtier.NewOperator(r.tier.Addresses(localtier.CoreClass, localtier.ControlPort), nil)
	if _, err := r.operator.Configure(ctx, configuration(1), 0); err != nil {
		return fmt.Errorf("sending the first configuration: %w", err)
	}
	r.report("configuration 1 is acknowledged")
	if err := r.tier.WaitReady(ctx); err != nil {
		return err
	}
	r.report("all proxies are ready")
	proxies := r.tier.Addresses(localtier.EdgeClass, localtier.FrontPort)
	before := r.runProgram(ctx, standin.ProgramOptions{Name: "before", Address: proxies[0], Turns: 4, Tools: 2, Subagents: 2, SubagentTurns: 2}, standin.Finished)
	r.exceedBudget(ctx, "spender", proxies[1])
	if err := r.killLeaders(ctx); err != nil {
		return err
	}
	r.runProgram(ctx, standin.ProgramOptions{Name: "after", Address: proxies[1], Turns: 4, Tools: 2, Subagents: 1, SubagentTurns: 2,
		ContinueFrom: lastCompleteTurn(before)}, standin.Finished)
	if err := r.reconfigure(ctx); err != nil {
		return err
	}
	r.exceedBudget(ctx, "late-spender", proxies[0])
	for _, attempt := range r.environment.RunLog.Duplicates() {
		r.recordViolations("attempt " + attempt + " ran twice")
	}
	return nil
}

// runProgram runs one stateful program, and checks its final state and the responses that it received.
func (r *run) runProgram(ctx context.Context, program standin.ProgramOptions, want standin.State) standin.Outcome {
	program.Host, program.TurnPath, program.ToolPath, program.Model = localtier.Host, localtier.TurnPath, localtier.ToolPath, localtier.ModelName
	program.MaxTokens = maxTokens
	program.Timeout, program.RequestTimeout = programTimeout, localtier.RequestTimeout
	program.Stateful = true
	program.Backoff = func(ctx context.Context) error { return wait.Sleep(ctx, retryBackoff) }
	outcome := standin.NewProgram(program).Run(ctx)
	r.recordViolations(outcome.Check(r.environment.RunLog)...)
	if outcome.State != want {
		r.recordViolations(fmt.Sprintf("program %s ended as %s, want %s: statuses %v", program.Name, outcome.State, want, statuses(outcome)))
	}
	r.report("program %s: %s, %d turns, %d tool calls, %d events; prompts, responses and seals checked",
		program.Name, outcome.State, len(outcome.Turns), len(outcome.Tools), outcome.Events())
	return outcome
}

// exceedBudget runs a program whose turns would exceed its budget of tokens, and checks that the tier stops it within the budget.
func (r *run) exceedBudget(ctx context.Context, name, proxy string) {
	const budget = 2*maxTokens + maxTokens/2
	r.runProgram(ctx, standin.ProgramOptions{Name: name, Address: proxy, Turns: 6, Tools: 1, Budget: budget}, standin.BudgetSpent)
	generated := r.environment.RunLog.Tokens(name)
	if generated > budget {
		r.recordViolations(fmt.Sprintf("program %s generated %d tokens with a budget of %d", name, generated, budget))
	}
	r.report("program %s: %d tokens of its budget of %d generated", name, generated, budget)
}

// killLeaders kills the controller that leads the configuration's group and the store that leads the most shards.
func (r *run) killLeaders(ctx context.Context) error {
	address, err := r.operator.Configure(ctx, configuration(1), 0)
	if err != nil {
		return fmt.Errorf("resending the first configuration: %w", err)
	}
	controller, err := r.tier.ControllerAt(address)
	if err != nil {
		return err
	}
	store, led, all, err := r.tier.BusiestStore(ctx)
	if err != nil {
		return err
	}
	if err := multierr.Append(controller.Kill(ctx), store.Kill(ctx)); err != nil {
		return err
	}
	r.report("killed: %v, which led the configuration's group, and %v, which led %d of %d shards", controller, store, led, all)
	return nil
}

// reconfigure reads version 1 of the configuration from the remaining controllers, and activates version 2.
func (r *run) reconfigure(ctx context.Context) error {
	read, err := r.operator.ReadBack(ctx)
	if err != nil {
		return fmt.Errorf("reading the configuration back: %w", err)
	}
	if !localtier.SameConfiguration(read, configuration(1)) {
		r.recordViolations(fmt.Sprintf("the acknowledged configuration is lost: read back %+v", read))
	}
	if _, err := r.operator.Configure(ctx, configuration(2), 1); err != nil {
		return fmt.Errorf("sending the second configuration: %w", err)
	}
	if err := r.tier.WaitRoute(ctx, laterToolPath); err != nil {
		return err
	}
	r.report("configuration 1 was read back; 2 is acknowledged and active on all proxies")
	return nil
}

// lastCompleteTurn returns the last turn whose complete response was received.
func lastCompleteTurn(outcome standin.Outcome) standin.Turn {
	for _, turn := range slices.Backward(outcome.Turns) {
		if turn.Status == http.StatusOK && turn.Complete {
			return turn
		}
	}
	return standin.Turn{}
}

// statuses returns the distinct statuses of a program's turns and tool calls, sorted.
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
