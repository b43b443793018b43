package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"mastusher/internal/relay/activitypub"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/platform"
	"mastusher/internal/relay/plugin"
	"mastusher/internal/relay/plugin/rules"
	"mastusher/internal/relay/plugin/trial"
)

// pluginTool holds the flags of the commands that load a module into a host of their own: plugin run, test, check and bench.
type pluginTool struct {
	o         *options
	name      string // the plug-in in the configuration whose limits apply; empty: default limits
	seed      string
	settings  string        // the plug-in's own configuration, as JSON
	cacheDir  string        // directory of compiled modules
	timeLimit time.Duration // limit of one call; 0: that of the configured plug-in, or the default
}

// flags adds the tool's flags to a command.
func (p *pluginTool) flags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&p.name, "name", "", "take the limits and settings of the plug-in of this name in --config")
	cmd.Flags().StringVar(&p.seed, "seed", "", "seed of random numbers, 16 hexadecimal digits")
	cmd.Flags().StringVar(&p.settings, "settings", "", "JSON that the plug-in is handed as its configuration")
	cmd.Flags().StringVar(&p.cacheDir, "cache", "", "folder for compiled modules, such as the relay's own plugin_host.cache: what is there needs no compiling")
	cmd.Flags().DurationVar(&p.timeLimit, "time-limit", 0, "for a call, such as 1s on a machine that is busy (default: that of --name, or 10ms)")
	return cmd
}

// withHost calls do with a host for a module and the host's configuration. The host has no persistent store.
func (p *pluginTool) withHost(file string, do func(*trial.Host, *config.Config) error) error {
	var from *config.Config
	if p.name != "" {
		var err error
		if from, err = config.Load(p.o.file, os.Getenv); err != nil {
			return operationError{err}
		}
	}
	cfg, err := config.ForPlugin(file, from, p.name, p.seed, p.settings)
	if err != nil {
		return operationError{err}
	}
	if p.cacheDir != "" {
		cfg.PluginHost.Cache = p.cacheDir
	}
	if p.timeLimit > 0 {
		cfg.Plugins[0].Timeout = p.timeLimit
	}
	host := &trial.Host{Name: cfg.Plugins[0].Name, Open: func() (*plugin.Host, error) { return newQuietHost(cfg) }}
	defer host.Close()
	return do(host, cfg)
}

// newQuietHost returns a host for a configuration's plug-ins that discards its log.
func newQuietHost(cfg *config.Config) (*plugin.Host, error) {
	return plugin.New(cfg, []rules.Front{platform.PluginHeaders, activitypub.PluginHeaders}, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// pluginCommand returns the commands that check, test and measure plug-ins, and reload those of a running relay.
func pluginCommand(o *options) *cobra.Command {
	root := &cobra.Command{Use: "plugin", Short: "check, try and measure plug-ins, and reload those of a running relay"}
	root.AddCommand(checkCommand(o), runCommand(o), testCommand(o), benchCommand(o), reloadCommand(o), statusCommand(o))
	return root
}

// checkCommand lists the faults of a module.
func checkCommand(o *options) *cobra.Command {
	tool := &pluginTool{o: o}
	return tool.flags(&cobra.Command{Use: "check FILE", Short: "name every import, export and limit at fault in a module", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return tool.withHost(args[0], func(host *trial.Host, cfg *config.Config) error { return checkModule(cmd, args[0], host, cfg) })
		}})
}

// checkModule loads a module and prints its description, or each of its faults.
func checkModule(cmd *cobra.Command, file string, host *trial.Host, cfg *config.Config) error {
	st, err := host.Status()
	var faults plugin.ModuleError
	if errors.As(err, &faults) {
		for _, fault := range faults {
			cmd.PrintErrln(fault)
		}
		return operationError{&moduleFaultsError{file, len(faults)}}
	}
	if err != nil {
		return operationError{err}
	}
	loaded, limits := st.Plugins[0], cfg.Plugins[0]
	fmt.Fprintf(cmd.OutOrStdout(), "%s is good: ABI %d, phases %s, module %s; %d instances of %d MB at most, %v a call, %g of a core\n",
		file, loaded.ABI, loaded.Phases, loaded.Module, limits.Instances, limits.MemoryMB, limits.Timeout, limits.Share)
	return nil
}

// runCommand prints a module's effects on one message.
func runCommand(o *options) *cobra.Command {
	tool := &pluginTool{o: o}
	var keys []string
	cmd := tool.flags(&cobra.Command{Use: "run FILE", Short: "show one message's way through a module", Args: cobra.ExactArgs(1),
		Long: "run hands one message to a module on arrival, shows it an answer and tells it of the end, and prints what comes of each.\n\n" +
			"The message is set up by --set KEY=VALUE, with the keys that a file of test cases has: id, key, partner, class, body,\n" +
			"front, in (NAME: VALUE), again, left, now, status, told, to, how.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return tool.withHost(args[0], func(host *trial.Host, _ *config.Config) error { return runMessage(cmd.OutOrStdout(), host, keys) })
		}})
	cmd.Flags().StringArrayVar(&keys, "set", nil, "KEY=VALUE of the message; may be given several times")
	return cmd
}

// runMessage calls the module for each phase of the message that keys describe, up to a phase that rejects it, and prints the effects.
func runMessage(out io.Writer, host *trial.Host, keys []string) error {
	message := trial.New("run")
	if err := message.Set("status", "503"); err != nil {
		return err
	}
	for _, pair := range keys {
		key, value, _ := strings.Cut(pair, "=")
		if err := message.Set(key, value); err != nil {
			return fmt.Errorf("--set %w", err)
		}
	}
	st, err := host.Status()
	if err != nil {
		return operationError{err}
	}
	for _, phase := range []plugin.Phase{plugin.Arrival, plugin.Answer, plugin.End} {
		if !strings.Contains(st.Plugins[0].Phases, phase.String()) {
			continue
		}
		message.Call.Phase = phase
		effects, outcome, err := host.Play(&message)
		if err != nil {
			return operationError{err}
		}
		fmt.Fprintf(out, "%s (%v of processor time)\n", phase, outcome.CPU.Round(time.Microsecond))
		for _, effect := range effects {
			fmt.Fprintf(out, "  %s\n", effect)
		}
		if outcome.Reject {
			break
		}
	}
	return nil
}

// testCommand runs test cases against a module.
func testCommand(o *options) *cobra.Command {
	tool := &pluginTool{o: o}
	return tool.flags(&cobra.Command{Use: "test FILE CASES", Short: "play the golden cases of a text file against a module", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return tool.withHost(args[0], func(host *trial.Host, _ *config.Config) error { return testCases(cmd.OutOrStdout(), host, args[1]) })
		}})
}

// testCases runs the cases of a file, prints those that fail and the counts. It returns errCasesFailed if a case fails or there is none.
func testCases(out io.Writer, host *trial.Host, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return operationError{err}
	}
	defer f.Close()
	cases, err := trial.Parse(f)
	if err != nil {
		return operationError{fmt.Errorf("%s: %w", file, err)}
	}
	failed := 0
	for i := range cases {
		c := &cases[i]
		got, _, err := host.Play(c)
		if err != nil {
			return operationError{err}
		}
		if slices.Equal(got, c.Want) {
			continue
		}
		failed++
		fmt.Fprintf(out, "%s:%d: %s\n  want %s\n  got  %s\n", file, c.Line, c.Name, strings.Join(c.Want, "\n       "), strings.Join(got, "\n       "))
	}
	fmt.Fprintf(out, "%d passed, %d failed\n", len(cases)-failed, failed)
	if failed > 0 || len(cases) == 0 {
		return operationError{errCasesFailed}
	}
	return nil
}

// maxBenchCalls is the maximum number of calls in a benchmark.
const maxBenchCalls = 1_000_000

// benchCommand measures the duration and CPU time of a module's calls.
func benchCommand(o *options) *cobra.Command {
	tool := &pluginTool{o: o}
	var calls int
	var body string
	cmd := tool.flags(&cobra.Command{Use: "bench FILE", Short: "print a histogram of what a module's calls take", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if calls < 1 || calls > maxBenchCalls {
				return &argumentError{"--calls", fmt.Sprintf("want 1 to %d", maxBenchCalls)}
			}
			return tool.withHost(args[0], func(host *trial.Host, cfg *config.Config) error {
				cfg.Limits.PluginBurst = time.Hour // the limit on the plug-in's share of a core must not slow down the benchmark
				measured, err := measureCalls(host, calls, body)
				if err != nil {
					return err
				}
				return measured.print(cmd.OutOrStdout())
			})
		}})
	cmd.Flags().IntVar(&calls, "calls", 2000, "how many")
	cmd.Flags().StringVar(&body, "body", `{"match":"heb-hea","home":1,"away":0}`, "body of each message")
	return cmd
}

// callTimes holds the durations of a module's calls, in nanoseconds.
type callTimes struct {
	calls, failed int
	lastFailure   string
	wall, cpu     *hdrhistogram.Histogram // of the calls that succeeded
}

// measureCalls calls a module for the given number of messages.
func measureCalls(host *trial.Host, calls int, body string) (*callTimes, error) {
	times := &callTimes{calls: calls, wall: hdrhistogram.New(1, 1e9, 3), cpu: hdrhistogram.New(1, 1e9, 3)}
	for i := range calls {
		message := trial.New("bench")
		call := &message.Call
		call.ID, call.Body, call.Partner, call.Now = fmt.Sprint("message-", i), []byte(body), i%20, time.Now()
		began := time.Now()
		effects, outcome, err := host.Play(&message)
		if err != nil {
			return nil, operationError{err}
		}
		if strings.HasPrefix(effects[0], "failed") {
			times.failed++
			times.lastFailure = effects[0]
			continue
		}
		_ = times.wall.RecordValue(time.Since(began).Nanoseconds())
		_ = times.cpu.RecordValue(outcome.CPU.Nanoseconds())
	}
	return times, nil
}

// print prints quantiles of the times and a histogram of CPU times. It returns an error if any call failed.
func (c *callTimes) print(out io.Writer) error {
	fmt.Fprintf(out, "%d calls, %d failed\n%-10s %12s %12s\n", c.calls, c.failed, "", "as seen", "processor")
	for _, percent := range []float64{50, 90, 99, 99.9, 100} {
		fmt.Fprintf(out, "%-10s %12v %12v\n", fmt.Sprintf("p%g", percent), time.Duration(c.wall.ValueAtPercentile(percent)), time.Duration(c.cpu.ValueAtPercentile(percent)))
	}
	for _, bar := range c.cpu.Distribution() {
		if share := float64(bar.Count) / float64(c.calls); share >= 0.01 {
			fmt.Fprintf(out, "%10v %s %.1f %%\n", time.Duration(bar.To), strings.Repeat("#", int(share*60)), 100*share)
		}
	}
	if c.failed > 0 {
		return operationError{fmt.Errorf("%d calls failed, the last: %s", c.failed, c.lastFailure)}
	}
	return nil
}

// checkPlugins loads the plug-ins of a configuration and unloads them again.
func checkPlugins(cfg *config.Config) error {
	withoutStore := *cfg
	withoutStore.PluginHost.Store = ""
	host, err := newQuietHost(&withoutStore)
	if err != nil {
		return err
	}
	host.Close()
	return nil
}

// reloadPoll is the interval at which reload polls the relay's status.
const reloadPoll = 50 * time.Millisecond

// reloadCommand has a running relay reload its plug-ins.
func reloadCommand(o *options) *cobra.Command {
	var pid int
	var within time.Duration
	cmd := &cobra.Command{Use: "reload", Short: "check the plug-ins of --config and have a running relay take them over", Args: cobra.NoArgs,
		Long: "reload loads all plug-ins of the configuration here first; only if all are good is the relay (--pid) told, as SIGHUP\n" +
			"does. It then waits for the relay's word in plugin_host.store.",
		RunE: func(cmd *cobra.Command, _ []string) error { return reload(cmd, o.file, pid, within) }}
	pidFlag(cmd, &pid)
	cmd.Flags().DurationVar(&within, "within", 30*time.Second, "how long to wait for its word")
	return cmd
}

// reload checks the plug-ins of a configuration, signals the relay, and prints the status after the reload.
func reload(cmd *cobra.Command, file string, pid int, within time.Duration) error {
	cfg, err := config.Load(file, os.Getenv)
	if err != nil {
		return operationError{err}
	}
	if cfg.PluginHost.Store == "" {
		return operationError{config.NewKeyError("plugin_host.store", "missing: the relay's word is read there")}
	}
	if err = checkPlugins(cfg); err != nil {
		return operationError{fmt.Errorf("the relay is not told: %w", err)}
	}
	before, err := plugin.ReadStatus(cfg)
	if err != nil {
		return operationError{err}
	}
	if err := sendSignal(pid, syscall.SIGHUP); err != nil {
		return err
	}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(reloadPoll) {
		now, err := plugin.ReadStatus(cfg)
		if err != nil || now.Generation == before.Generation {
			continue
		}
		if now.Error != "" {
			return operationError{errors.New("the relay says: " + now.Error)}
		}
		return printStatus(cmd, now)
	}
	return operationError{fmt.Errorf("the relay has said nothing within %v; its log may tell", within)}
}

// statusCommand prints the plug-ins that a relay runs.
func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "print what plug-ins the relay of --config runs", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(o.file, os.Getenv)
			if err != nil {
				return operationError{err}
			}
			st, err := plugin.ReadStatus(cfg)
			if err != nil {
				return operationError{err}
			}
			return printStatus(cmd, st)
		}}
}

func printStatus(cmd *cobra.Command, st plugin.Status) error {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "generation %d, %s\n", st.Generation, st.At.Local().Format(time.DateTime))
	if st.Error != "" {
		fmt.Fprintf(out, "the last load failed: %s\n", st.Error)
	}
	for i, p := range st.Plugins {
		fmt.Fprintf(out, "%2d  %-24s ABI %d  %-20s %s  %s\n", i, p.Name, p.ABI, p.Phases, p.Module, p.File)
	}
	return nil
}
