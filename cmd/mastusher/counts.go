package main

import (
	"fmt"
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

// countsView is what a fleet has counted, as JSON.
type countsView struct {
	Relays  int                          `json:"relays"`
	Lives   int                          `json:"lives"`
	Oldest  time.Duration                `json:"oldest_ns"`
	Silent  string                       `json:"silent,omitempty"`
	Counts  map[string]map[string]uint64 `json:"counts"`
	Unnamed int                          `json:"unnamed,omitempty"` // counters of names that this relay's settings don't have
}

// countsCommand shows what all relays of a fleet have counted.
func countsCommand(t *fleetTool) *cobra.Command {
	return &cobra.Command{Use: "counts", Short: "what all relays have taken on, refused, repeated and ended, by class, tenant and partner", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := t.config()
			if err != nil {
				return err
			}
			st, err := t.once(cmd, "counts")
			if err != nil {
				return err
			}
			if st.Totals == nil {
				return workError{fmt.Errorf("this relay's fleet counts nothing: is peers.share set?")}
			}
			v, err := countsOf(cfg, st.Totals)
			if err != nil {
				return workError{err}
			}
			w := cmd.OutOrStdout()
			if t.json {
				return writeJSON(w, v)
			}
			tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
			fmt.Fprint(tab, "of")
			for _, what := range engine.CounterNames {
				fmt.Fprintf(tab, "\t%s", what)
			}
			fmt.Fprintln(tab)
			for _, of := range slices.Sorted(maps.Keys(v.Counts)) {
				fmt.Fprint(tab, of)
				for _, what := range engine.CounterNames {
					fmt.Fprintf(tab, "\t%d", v.Counts[of][what])
				}
				fmt.Fprintln(tab)
			}
			if err := tab.Flush(); err != nil {
				return err
			}
			fmt.Fprintf(w, "%d relays, %d lives by their own word; the oldest word is of %v ago%s\n", v.Relays, v.Lives, v.Oldest.Round(10*time.Millisecond),
				map[bool]string{true: ", of " + v.Silent}[v.Silent != ""])
			return nil
		}}
}

// countsOf gives the counters their names: those that this relay's settings have.
func countsOf(cfg *config.Config, s *quota.Totals) (*countsView, error) {
	n, err := quota.DecodeCounters(s.Counters)
	if err != nil {
		return nil, err
	}
	v := &countsView{Relays: s.Relays, Lives: s.Incarnations, Oldest: s.SilentFor, Silent: s.Silent, Counts: map[string]map[string]uint64{}}
	var of []string
	for i := range cfg.Settings.Classes {
		of = append(of, "class "+cfg.Settings.Classes[i].Name)
	}
	for _, name := range cfg.Settings.TenantNames {
		of = append(of, "tenant "+name)
	}
	for p := range engine.MaxCountedPartners {
		of = append(of, "partner "+strconv.Itoa(p))
	}
	of = append(of, "partner others")
	for _, name := range of {
		for _, what := range engine.CounterNames {
			k := quota.KeyOf(quota.Counter, name+" "+what)
			if c, ok := n[k]; ok {
				if v.Counts[name] == nil {
					v.Counts[name] = map[string]uint64{}
				}
				v.Counts[name][what] = c
				delete(n, k)
			}
		}
	}
	v.Unnamed = len(n)
	return v, nil
}
