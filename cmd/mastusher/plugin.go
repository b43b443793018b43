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

// bench is what plugin run, test, check and bench have in common: a module in a host of its own.
type bench struct {
	o    *options
	name string // of the entry in the configuration that gives the limits; "": defaults
	seed string
	json string        // the plug-in's own configuration
	keep string        // folder for compiled modules
	most time.Duration // for a call; 0: as the entry, or the default, has it
}

func (b *bench) flags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&b.name, "name", "", "take the limits and settings of the plug-in of this name in --config")
	cmd.Flags().StringVar(&b.seed, "seed", "", "seed of random numbers, 16 hexadecimal digits")
	cmd.Flags().StringVar(&b.json, "settings", "", "JSON that the plug-in is handed as its configuration")
	cmd.Flags().StringVar(&b.keep, "cache", "", "folder for compiled modules, such as the relay's own plugin_host.cache: what is there needs no compiling")
	cmd.Flags().DurationVar(&b.most, "time-limit", 0, "for a call, such as 1s on a machine that is busy (default: that of --name, or 10ms)")
	return cmd
}

// host returns what plays a module, without a store that outlasts it.
func (b *bench) host(file string) (*trial.Host, *config.Config, error) {
	var from *config.Config
	if b.name != "" {
		var err error
		if from, err = config.Load(b.o.file, os.Getenv); err != nil {
			return nil, nil, workError{err}
		}
	}
	cfg, err := config.ForPlugin(file, from, b.name, b.seed, b.json)
	if err != nil {
		return nil, nil, workError{err}
	}
	if b.keep != "" {
		cfg.PluginHost.Cache = b.keep
	}
	if b.most > 0 {
		cfg.Plugins[0].Timeout = b.most
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	return &trial.Host{Name: cfg.Plugins[0].Name, Open: func() (*plugin.Host, error) {
		return plugin.New(cfg, []rules.Front{platform.Guard, activitypub.Guard}, log)
	}}, cfg, nil
}

func pluginCommand(o *options) *cobra.Command {
	root := &cobra.Command{Use: "plugin", Short: "check, try and measure plug-ins, and reload those of a running relay"}
	root.AddCommand(checkCommand(o), runCommand(o), testCommand(o), benchCommand(o), reloadCommand(o), statusCommand(o))
	return root
}

func checkCommand(o *options) *cobra.Command {
	b := &bench{o: o}
	return b.flags(&cobra.Command{Use: "check FILE", Short: "name every import, export and limit at fault in a module", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, cfg, err := b.host(args[0])
			if err != nil {
				return err
			}
			defer p.Close()
			st, err := p.Status()
			if err != nil {
				var faults plugin.ModuleError
				if errors.As(err, &faults) {
					for _, f := range faults {
						cmd.PrintErrln(f)
					}
					return workError{fmt.Errorf("%s: %d faults", args[0], len(faults))}
				}
				return workError{err}
			}
			s, c := st.Plugins[0], cfg.Plugins[0]
			fmt.Fprintf(cmd.OutOrStdout(), "%s is good: ABI %d, phases %s, module %s; %d instances of %d MB at most, %v a call, %g of a core\n",
				args[0], s.ABI, s.Phases, s.Module, c.Instances, c.MemoryMB, c.Timeout, c.Share)
			return nil
		}})
}

func runCommand(o *options) *cobra.Command {
	b := &bench{o: o}
	var keys []string
	cmd := b.flags(&cobra.Command{Use: "run FILE", Short: "show one message's way through a module", Args: cobra.ExactArgs(1),
		Long: "run hands one message to a module on arrival, shows it an answer and tells it of the end, and prints what comes of each.\n\n" +
			"The message is set up by --set KEY=VALUE, with the keys that a file of test cases has: id, key, partner, class, body,\n" +
			"front, in (NAME: VALUE), again, left, now, status, told, to, how.",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, _, err := b.host(args[0])
			if err != nil {
				return err
			}
			defer p.Close()
			c := trial.New("run")
			if err = c.Set("status", "503"); err != nil {
				return err
			}
			for _, kv := range keys {
				k, v, _ := strings.Cut(kv, "=")
				if err = c.Set(k, v); err != nil {
					return fmt.Errorf("--set %w", err)
				}
			}
			st, err := p.Status()
			if err != nil {
				return workError{err}
			}
			for _, phase := range []plugin.Phase{plugin.Arrival, plugin.Answer, plugin.End} {
				if !strings.Contains(st.Plugins[0].Phases, phase.String()) {
					continue
				}
				c.Call.Phase = phase
				got, out, err := p.Play(&c)
				if err != nil {
					return workError{err}
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s (%v of processor time)\n", phase, out.CPU.Round(time.Microsecond))
				for _, line := range got {
					fmt.Fprintf(cmd.OutOrStdout(), "  %s\n", line)
				}
				if out.Reject {
					break
				}
			}
			return nil
		}})
	cmd.Flags().StringArrayVar(&keys, "set", nil, "KEY=VALUE of the message; may be given several times")
	return cmd
}

func testCommand(o *options) *cobra.Command {
	b := &bench{o: o}
	return b.flags(&cobra.Command{Use: "test FILE CASES", Short: "play the golden cases of a text file against a module", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			p, _, err := b.host(args[0])
			if err != nil {
				return err
			}
			defer p.Close()
			f, err := os.Open(args[1])
			if err != nil {
				return workError{err}
			}
			defer f.Close()
			cases, err := trial.Parse(f)
			if err != nil {
				return workError{fmt.Errorf("%s: %w", args[1], err)}
			}
			failed := 0
			for i := range cases {
				c := &cases[i]
				got, _, err := p.Play(c)
				if err != nil {
					return workError{err}
				}
				if slices.Equal(got, c.Want) {
					continue
				}
				failed++
				fmt.Fprintf(cmd.OutOrStdout(), "%s:%d: %s\n  want %s\n  got  %s\n", args[1], c.Line, c.Name,
					strings.Join(c.Want, "\n       "), strings.Join(got, "\n       "))
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d passed, %d failed\n", len(cases)-failed, failed)
			if failed > 0 || len(cases) == 0 {
				return workError{errors.New("the module does not do as its cases say")}
			}
			return nil
		}})
}

func benchCommand(o *options) *cobra.Command {
	b := &bench{o: o}
	var n int
	var body string
	cmd := b.flags(&cobra.Command{Use: "bench FILE", Short: "print a histogram of what a module's calls take", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if n < 1 || n > 1e6 {
				return errors.New("--calls: want 1 to 1000000")
			}
			p, cfg, err := b.host(args[0])
			if err != nil {
				return err
			}
			defer p.Close()
			cfg.Limits.PluginBurst = time.Hour // the share is not what is measured
			wall, cpu := hdrhistogram.New(1, 1e9, 3), hdrhistogram.New(1, 1e9, 3)
			failed := 0
			var last []string
			for i := range n {
				c := trial.New("bench")
				c.Call.ID, c.Call.Body, c.Call.Partner, c.Call.Now = fmt.Sprint("message-", i), []byte(body), i%20, time.Now()
				from := time.Now()
				got, out, err := p.Play(&c)
				if err != nil {
					return workError{err}
				}
				if strings.HasPrefix(got[0], "failed") {
					failed, last = failed+1, got
					continue
				}
				_ = wall.RecordValue(time.Since(from).Nanoseconds())
				_ = cpu.RecordValue(out.CPU.Nanoseconds())
			}
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%d calls, %d failed\n%-10s %12s %12s\n", n, failed, "", "as seen", "processor")
			for _, q := range []float64{50, 90, 99, 99.9, 100} {
				fmt.Fprintf(w, "%-10s %12v %12v\n", fmt.Sprintf("p%g", q), time.Duration(wall.ValueAtPercentile(q)), time.Duration(cpu.ValueAtPercentile(q)))
			}
			for _, bar := range cpu.Distribution() {
				if share := float64(bar.Count) / float64(n); share >= 0.01 {
					fmt.Fprintf(w, "%10v %s %.1f %%\n", time.Duration(bar.To), strings.Repeat("#", int(share*60)), 100*share)
				}
			}
			if failed > 0 {
				return workError{fmt.Errorf("%d calls failed, the last: %s", failed, last[0])}
			}
			return nil
		}})
	cmd.Flags().IntVar(&n, "calls", 2000, "how many")
	cmd.Flags().StringVar(&body, "body", `{"match":"heb-hea","home":1,"away":0}`, "body of each message")
	return cmd
}

// tryPlugins loads the plug-ins of a configuration, and lets them go again.
func tryPlugins(cfg *config.Config) error {
	trying := *cfg
	trying.PluginHost.Store = ""
	h, err := plugin.New(&trying, []rules.Front{platform.Guard, activitypub.Guard}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return err
	}
	h.Close()
	return nil
}

func reloadCommand(o *options) *cobra.Command {
	var pid int
	var within time.Duration
	cmd := &cobra.Command{Use: "reload", Short: "check the plug-ins of --config and have a running relay take them over", Args: cobra.NoArgs,
		Long: "reload loads all plug-ins of the configuration here first; only if all are good is the relay (--pid) told, as SIGHUP\n" +
			"does. It then waits for the relay's word in plugin_host.store.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(o.file, os.Getenv)
			if err != nil {
				return workError{err}
			}
			if cfg.PluginHost.Store == "" {
				return workError{config.NewKeyError("plugin_host.store", "missing: the relay's word is read there")}
			}
			if err = tryPlugins(cfg); err != nil {
				return workError{fmt.Errorf("the relay is not told: %w", err)}
			}
			before, err := plugin.ReadStatus(cfg)
			if err != nil {
				return workError{err}
			}
			if err := syscall.Kill(pid, syscall.SIGHUP); err != nil {
				return workError{fmt.Errorf("--pid %d: %w", pid, err)}
			}
			for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if now, err := plugin.ReadStatus(cfg); err == nil && now.Generation != before.Generation {
					if now.Error != "" {
						return workError{errors.New("the relay says: " + now.Error)}
					}
					return printStatus(cmd, now)
				}
			}
			return workError{fmt.Errorf("the relay has said nothing within %v; its log may tell", within)}
		}}
	cmd.Flags().IntVar(&pid, "pid", 0, "process of the relay")
	cmd.Flags().DurationVar(&within, "within", 30*time.Second, "how long to wait for its word")
	_ = cmd.MarkFlagRequired("pid")
	return cmd
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{Use: "status", Short: "print what plug-ins the relay of --config runs", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(o.file, os.Getenv)
			if err != nil {
				return workError{err}
			}
			st, err := plugin.ReadStatus(cfg)
			if err != nil {
				return workError{err}
			}
			return printStatus(cmd, st)
		}}
}

func printStatus(cmd *cobra.Command, s plugin.Status) error {
	w := cmd.OutOrStdout()
	fmt.Fprintf(w, "generation %d, %s\n", s.Generation, s.At.Local().Format(time.DateTime))
	if s.Error != "" {
		fmt.Fprintf(w, "the last load failed: %s\n", s.Error)
	}
	for i, p := range s.Plugins {
		fmt.Fprintf(w, "%2d  %-24s ABI %d  %-20s %s  %s\n", i, p.Name, p.ABI, p.Phases, p.Module, p.File)
	}
	return nil
}
