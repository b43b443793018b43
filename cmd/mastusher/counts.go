package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/fleet/quota"
)

// countsView is the JSON form of a fleet's counters.
type countsView struct {
	Relays       int                          `json:"relays"`
	Incarnations int                          `json:"lives"`
	Oldest       time.Duration                `json:"oldest_ns"`
	Silent       string                       `json:"silent,omitempty"`
	Counts       map[string]map[string]uint64 `json:"counts"`            // by class, tenant or partner, then by counter
	Unnamed      int                          `json:"unnamed,omitempty"` // number of counters whose names are not in this relay's settings
}

// countsCommand prints the sums of the counters of all relays of a fleet.
func countsCommand(t *fleetTool) *cobra.Command {
	return &cobra.Command{Use: "counts", Short: "what all relays have taken on, refused, repeated and ended, by class, tenant and partner", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := t.config()
			if err != nil {
				return err
			}
			st, err := t.query(cmd, "counts")
			if err != nil {
				return err
			}
			if st.Totals == nil {
				return operationError{errNotShared}
			}
			v, err := countsOf(cfg, st.Totals)
			if err != nil {
				return operationError{err}
			}
			if t.json {
				return writeJSON(cmd.OutOrStdout(), v)
			}
			return v.print(cmd.OutOrStdout())
		}}
}

// print prints the counters as a table, followed by the number of relays and incarnations that reported them.
func (v *countsView) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "of")
	for _, counter := range engine.CounterNames {
		fmt.Fprintf(table, "\t%s", counter)
	}
	fmt.Fprintln(table)
	for _, subject := range slices.Sorted(maps.Keys(v.Counts)) {
		fmt.Fprint(table, subject)
		for _, counter := range engine.CounterNames {
			fmt.Fprintf(table, "\t%d", v.Counts[subject][counter])
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	silent := ""
	if v.Silent != "" {
		silent = ", of " + v.Silent
	}
	fmt.Fprintf(out, "%d relays, %d lives by their own word; the oldest word is of %v ago%s\n", v.Relays, v.Incarnations,
		v.Oldest.Round(10*time.Millisecond), silent)
	return nil
}

// countsOf maps the fleet's counters, which are keyed by hashes, to the names in this relay's settings.
func countsOf(cfg *config.Config, totals *quota.Totals) (*countsView, error) {
	counters, err := quota.DecodeCounters(totals.Counters)
	if err != nil {
		return nil, err
	}
	v := &countsView{Relays: totals.Relays, Incarnations: totals.Incarnations, Oldest: totals.SilentFor, Silent: totals.Silent,
		Counts: map[string]map[string]uint64{}}
	for _, subject := range countedSubjects(cfg) {
		for _, counter := range engine.CounterNames {
			key := quota.KeyOf(quota.Counter, subject+" "+counter)
			count, ok := counters[key]
			if !ok {
				continue
			}
			if v.Counts[subject] == nil {
				v.Counts[subject] = map[string]uint64{}
			}
			v.Counts[subject][counter] = count
			delete(counters, key)
		}
	}
	v.Unnamed = len(counters)
	return v, nil
}

// countedSubjects returns the classes, tenants and partners that have counters.
func countedSubjects(cfg *config.Config) (subjects []string) {
	for i := range cfg.Settings.Classes {
		subjects = append(subjects, "class "+cfg.Settings.Classes[i].Name)
	}
	for _, name := range cfg.Settings.TenantNames {
		subjects = append(subjects, "tenant "+name)
	}
	for partner := range engine.MaxCountedPartners {
		subjects = append(subjects, "partner "+strconv.Itoa(partner))
	}
	return append(subjects, "partner others")
}
