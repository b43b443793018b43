package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/peer"
	"mastusher/internal/relay/fleet/policy"
)

// policyProposeCommand proposes a change of policy and waits until the change is over.
func policyProposeCommand(t *fleetTool) *cobra.Command {
	var base int64
	var author string
	propose := &cobra.Command{Use: "propose FILE", Short: "propose a change and wait until it is in force or dropped", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err == nil {
				_, err = policy.Parse(text)
			}
			if err != nil {
				return operationError{err}
			}
			st, err := t.query(cmd, "status")
			if err != nil {
				return err
			}
			request := node.AdminRequest{Op: "propose", Version: st.State.Version, Doc: text, By: author, Ticket: newTicket()}
			if base >= 0 {
				request.Version = uint64(base)
			}
			return t.follow(cmd, &request, func(s *policy.State) (bool, error) {
				if s.Change != nil && s.Change.Ticket == request.Ticket {
					request.Op = "status"
				}
				for _, p := range s.PastChanges {
					if p.Ticket != request.Ticket {
						continue
					}
					if p.DropReason != "" {
						return true, &droppedError{version: p.Version, proposed: true, reason: p.DropReason}
					}
					fmt.Fprintf(cmd.OutOrStdout(), "version %d is in force\n", p.Version)
					return true, nil
				}
				return false, nil
			})
		}}
	propose.Flags().Int64Var(&base, "base", -1, "the version that it replaces (default: the one in force)")
	propose.Flags().StringVar(&author, "by", os.Getenv("USER"), "who proposes it")
	return propose
}

// policyWaitCommand waits until a version of the policy is in force or dropped.
func policyWaitCommand(t *fleetTool) *cobra.Command {
	return &cobra.Command{Use: "wait VERSION", Short: "wait until a version is in force, or dropped", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var version uint64
			if _, err := fmt.Sscan(args[0], &version); err != nil {
				return &argumentError{"wait", fmt.Sprintf("%q is no version", args[0])}
			}
			return t.follow(cmd, &node.AdminRequest{Op: "status"}, func(s *policy.State) (bool, error) {
				for _, p := range s.PastChanges {
					if p.Version == version && p.DropReason != "" {
						return true, &droppedError{version: version, reason: p.DropReason}
					}
				}
				return s.Version >= version, nil
			})
		}}
}

// policyCheckCommand checks a policy against this relay's settings and plug-ins.
func policyCheckCommand(t *fleetTool) *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "tell whether this relay could apply a policy", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := t.config()
			if err != nil {
				return err
			}
			rules, err := peer.NewRules(cfg)
			var text []byte
			if err == nil {
				rules.LoadPlugins = checkPlugins
				text, err = os.ReadFile(args[0])
			}
			if err == nil {
				err = rules.Check(text)
			}
			if err != nil {
				return operationError{err}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "this relay can apply it")
			return nil
		}}
}

// policyDiffCommand compares a policy with the one in force.
func policyDiffCommand(t *fleetTool) *cobra.Command {
	return &cobra.Command{Use: "diff FILE", Short: "tell what a policy would change of the one in force", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return operationError{err}
			}
			st, err := t.query(cmd, "status")
			if err != nil {
				return err
			}
			changes, err := policy.Diff(st.State.Doc, text)
			if err != nil {
				return operationError{err}
			}
			for _, change := range changes {
				fmt.Fprintln(cmd.OutOrStdout(), change)
			}
			return nil
		}}
}
