package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/peer"
	"mastusher/internal/relay/fleet/policy"
)

// fleetTool holds the flags that the fleet and policy commands share.
type fleetTool struct {
	o           *options
	json        bool
	timeout     time.Duration
	pollGap     time.Duration
	sendToRelay func(ctx context.Context, cfg *config.Peers, request node.AdminRequest) (*node.Status, error) // peer.Ask, except in tests
}

func (t *fleetTool) config() (*config.Config, error) {
	cfg, err := config.Load(t.o.file, os.Getenv)
	if err == nil && cfg.Peers == nil {
		err = config.NewKeyError("peers", "missing: this relay belongs to no fleet")
	}
	if err != nil {
		return nil, operationError{err}
	}
	return cfg, nil
}

// send sends a request to the relay of this configuration.
func (t *fleetTool) send(ctx context.Context, q node.AdminRequest) (*node.Status, error) {
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	st, err := t.sendToRelay(ctx, cfg.Peers, q)
	if err == nil && st.Error != "" {
		err = errors.New(st.Error)
	}
	if err != nil {
		return st, operationError{err}
	}
	return st, nil
}

func (t *fleetTool) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(cmd.Context(), t.timeout, fmt.Errorf("not within %v", t.timeout))
}

// query sends a request that has no parameters.
func (t *fleetTool) query(cmd *cobra.Command, op string) (*node.Status, error) {
	ctx, cancel := t.context(cmd)
	defer cancel()
	return t.send(ctx, node.AdminRequest{Op: op})
}

// command returns a command that sends a request without parameters and prints the response.
func (t *fleetTool) command(use, short, op string, show func(io.Writer, *node.Status)) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		st, err := t.query(cmd, op)
		if err != nil {
			return err
		}
		if !t.json {
			show(cmd.OutOrStdout(), st)
			return nil
		}
		return writeJSON(cmd.OutOrStdout(), view(st))
	}}
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// statusView is the JSON form of a status.
type statusView struct {
	*node.Status
	Epoch   uint64              `json:"epoch"`
	Index   uint64              `json:"index"`
	Version uint64              `json:"version"`
	Change  *changeView         `json:"change,omitempty"`
	Roster  []string            `json:"roster"`
	Past    []policy.PastChange `json:"history"`
	Policy  json.RawMessage     `json:"policy,omitempty"`
}

type changeView struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	By      string `json:"by"`
	Phase   string `json:"phase"`
}

func view(st *node.Status) statusView {
	s := st.State
	v := statusView{Status: st, Epoch: s.Epoch, Index: s.Index, Version: s.Version, Roster: s.Roster, Past: s.PastChanges, Policy: s.Doc}
	if c := s.Change; c != nil {
		v.Change = &changeView{c.Version, c.Base, c.By, c.Phase.String()}
	}
	return v
}

// rowWriter returns a function that prints a name and its values as a row of a table.
func rowWriter(table io.Writer) func(name string, values ...any) {
	return func(name string, values ...any) {
		fmt.Fprintf(table, "%s\t%s\n", name, strings.TrimSpace(fmt.Sprintln(values...)))
	}
}

func showFleet(w io.Writer, st *node.Status) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	row := rowWriter(table)
	row("relay", st.Relay, "generation", st.Generation)
	row("leader", st.Leader)
	if st.Voter != "" {
		row("its say", st.Voter)
	}
	row("voters", strings.Join(st.Voters, " "))
	row("relays", len(st.State.Roster))
	acts := "yes"
	if !st.MayAct {
		acts = "no: " + st.WhyNot
	}
	row("acts", acts)
	row("lease left", st.LeaseLeft.Round(time.Millisecond))
	showChange(row, st)
	for _, why := range slices.Sorted(maps.Keys(st.Counts)) {
		row("dropped, "+why, st.Counts[why])
	}
}

func showRights(w io.Writer, st *node.Status) {
	if st.Quota == nil {
		fmt.Fprintln(w, "nothing is shared, or nothing has been lent yet")
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "loan %d, %v left; floor %.4f of each limit\n", st.Quota.LeaseNumber, st.Quota.Left.Round(time.Millisecond), st.Quota.Minimum)
	fmt.Fprintln(t, "of\tpart\tlimit\tthe fleet takes it for\t")
	for _, r := range st.Quota.Keys {
		turn := ""
		if r.MayProbe {
			turn = "its turn to try"
		}
		fmt.Fprintf(t, "%s\t%.4f\t%.4g\t%s\t%s\n", r.Name, r.Share, r.Limit, r.State, turn)
	}
	_ = t.Flush()
	if len(st.Shared) == 0 {
		return
	}
	fmt.Fprintln(t, "all relays:\tlimit\twanted/s\tlent\tfloors\trelays\tby zone")
	for _, s := range st.Shared {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%.4f\t%.4f\t%d\t%v\n", s.Name, s.Limit, s.Demand, s.Leased, s.Minimums, s.Relays, s.Zones)
	}
	for _, name := range slices.Sorted(maps.Keys(st.Contradictions)) {
		fmt.Fprintf(t, "at odds with the others, %s\t%d\n", name, st.Contradictions[name])
	}
	_ = t.Flush()
}

func showChange(row func(string, ...any), st *node.Status) {
	row("policy in force", st.State.Version)
	if c := st.State.Change; c != nil {
		row("under way", "version", c.Version, c.Phase, "by", c.By)
		if p := st.Progress; p != nil && p.Version == c.Version {
			row("", progressText(p))
		}
	}
}

func progressText(p *node.Progress) string {
	s := fmt.Sprintf("version %d %s: %d of %d", p.Version, p.Phase, p.Done, p.Of)
	if len(p.Missing) > 0 {
		s += fmt.Sprintf(", missing %s, %v at the latest", strings.Join(p.Missing, " "), p.Within.Round(10*time.Millisecond))
	}
	return s
}

func showPolicy(w io.Writer, st *node.Status) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	showChange(rowWriter(table), st)
	_ = table.Flush()
	if len(st.State.Doc) > 0 {
		fmt.Fprintf(w, "%s\n", bytes.TrimSpace(st.State.Doc))
	}
}

func showHistory(w io.Writer, st *node.Status) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "version\treplaces\tby\tdigest\thow it ended")
	for _, p := range st.State.PastChanges {
		how, number := "in force", fmt.Sprint(p.Version)
		if p.DropReason != "" {
			how = "dropped: " + p.DropReason
		}
		if len(p.Excused) > 0 {
			how += ", without " + strings.Join(p.Excused, " ")
		}
		if p.Version == 0 {
			number = "-"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%016x\t%s\n", number, p.Base, p.By, p.Digest, how)
	}
}

// follow polls the relay until finished reports that a change has ended, and prints its progress. finished may modify the next request.
func (t *fleetTool) follow(cmd *cobra.Command, request *node.AdminRequest, finished func(*policy.State) (done bool, err error)) error {
	ctx, cancel := t.context(cmd)
	defer cancel()
	last := ""
	for {
		st, err := t.send(ctx, *request)
		if err == nil {
			if done, err := finished(st.State); done {
				if err != nil {
					return operationError{err}
				}
				return nil
			}
			if p := st.Progress; p != nil && st.State.Change != nil {
				if text := progressText(p); text != last {
					last = text
					fmt.Fprintln(cmd.ErrOrStderr(), text)
				}
			}
		}
		select {
		case <-time.After(t.pollGap):
		case <-ctx.Done():
			return changePendingError{fmt.Errorf("the change is not over: %w", context.Cause(ctx))}
		}
	}
}

// fleetCommands returns the commands that talk to a relay of a fleet.
func fleetCommands(o *options) []*cobra.Command {
	t := &fleetTool{o: o, pollGap: 20 * time.Millisecond, sendToRelay: peer.SendAdminRequest}
	fleet := &cobra.Command{Use: "fleet", Short: "the relays that act together"}
	policyRoot := &cobra.Command{Use: "policy", Short: "change what a fleet in service goes by, everywhere or nowhere"}
	for _, c := range []*cobra.Command{fleet, policyRoot} {
		c.PersistentFlags().BoolVar(&t.json, "json", false, "as JSON")
		c.PersistentFlags().DurationVar(&t.timeout, "timeout", 30*time.Second, "wait for so long at most")
	}
	fleet.AddCommand(
		t.command("status", "what this relay knows of its fleet", "status", showFleet),
		t.command("rights", "what this relay may spend of the limits that the fleet shares; at the one that leads also what all may", "status", showRights),
		countsCommand(t),
		t.command("found", "begin a fleet with this relay as its only voter; the others of peers.voters are taken in as they come", "found", showFleet),
		t.command("roster", "have the fleet consist of the relays that this relay's file names", "roster", showFleet),
		forceCommand(t),
	)
	policyRoot.AddCommand(policyProposeCommand(t), policyWaitCommand(t), policyCheckCommand(t), policyDiffCommand(t),
		t.command("status", "the policy in force, and the change under way", "status", showPolicy),
		t.command("history", "how the last changes ended", "status", showHistory))
	return []*cobra.Command{fleet, policyRoot}
}

func forceCommand(t *fleetTool) *cobra.Command {
	var confirmed bool
	c := t.command("force", "go on without a majority that is lost for good, with this relay as the only voter", "force", showFleet)
	runForce := c.RunE
	c.RunE = func(cmd *cobra.Command, args []string) error {
		if !confirmed {
			return &argumentError{"force", "what only the lost voters knew is gone, and those that come back are void; say --majority-is-lost"}
		}
		return runForce(cmd, args)
	}
	c.Flags().BoolVar(&confirmed, "majority-is-lost", false, "most voters will never come back")
	return c
}

func newTicket() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}
