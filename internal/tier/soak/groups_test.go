package soak

import (
	"fmt"
	"os"
	"testing"

	"mastusher/internal/tier/localtier"
)

func TestControllersAgree_AllMembersLogTheSameState_ReportsAgreement(t *testing.T) {
	line := func(leader string, term, members int) string {
		return fmt.Sprintf("level=info msg=\"group changed\" group=configuration leader=%s isLeader=false term=%d members=%d\n", leader, term, members)
	}
	cases := []struct {
		name string
		logs [5]string
		want bool
	}{
		{name: "all five", logs: [5]string{line("a", 2, 5), line("a", 2, 5), line("a", 2, 5), line("a", 2, 5), line("", 1, 5) + line("a", 2, 5)}, want: true},
		{name: "one of five is missing", logs: [5]string{line("a", 2, 5), line("a", 2, 5), line("a", 2, 5), line("a", 2, 5), line("", 2, 5)}},
		{name: "one was removed", logs: [5]string{line("a", 2, 4), line("a", 2, 4), line("", 2, 5), line("a", 2, 4), line("a", 2, 4)}, want: true},
		{name: "one is being replaced", logs: [5]string{line("a", 2, 4), line("a", 2, 3), line("a", 2, 3), line("", 2, 5), line("", 2, 5)}},
		{name: "a newer term", logs: [5]string{line("a", 2, 3), line("a", 2, 3), line("a", 2, 3), line("", 3, 3), ""}},
		{name: "too few replicas", logs: [5]string{line("a", 2, 2), line("a", 2, 2), "", "", ""}},
		{name: "no leader", logs: [5]string{line("", 2, 3), line("", 2, 3), line("", 2, 3), "", ""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runOf(t, "true")
			r.services = nil
			for number, text := range c.logs {
				tier, err := localtier.New(localtier.Options{Command: []string{"true"}, Folder: t.TempDir(), Counts: localtier.Counts{Core: 1}})
				if err != nil {
					t.Fatal(err)
				}
				s := &service{Process: tier.Processes[0], number: number}
				r.services = append(r.services, s)
				if err := os.WriteFile(s.LogPath(), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if got := r.controllersAgree(); got != c.want {
				t.Errorf("controllersAgree returns %t", got)
			}
		})
	}
}
