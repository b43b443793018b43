package simulation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/standin"
)

// startTimeout bounds the start of a fleet.
const startTimeout = 20 * time.Second

// newFleet starts a fleet and waits until it has its first configuration and all proxies are ready.
func newFleet(t *testing.T, options Options) (*Fleet, *operator, *clients) {
	t.Helper()
	options.Folder = t.TempDir()
	if *traceFlag {
		options.Trace = t.Logf
	}
	f, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	f.StartAll()
	operator, users := newOperator(f, "a"), newClients(f)
	if status := operator.order(0, operator.next(1)); status != statusOK {
		t.Fatalf("the first configuration got status %d, want 200", status)
	}
	if !f.waitUntil(startTimeout, func() bool { return f.allReady(users) }) {
		t.Fatal("not all proxies became ready in time")
	}
	f.goroutines.Go(users.pollReadiness)
	return f, operator, users
}

func TestFleet_Started_TakesConfigurationsAndServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, operator, users := newFleet(t, Options{Seed: 1})
		if outcome := users.runProgram(4, 0, standin.Turn{}); outcome.State != standin.Finished {
			t.Errorf("the program ended as %s, want finished: %+v", outcome.State, outcome)
		}
		if status := operator.order(1, operator.next(3)); status != statusOK {
			t.Errorf("the second configuration got status %d, want 200", status)
		}
		if got, ok := operator.readBack(); !ok || got.Number != 3 {
			t.Errorf("read back %v, want number 3", got)
		}
		f.Close()
		for _, violation := range f.Violations() {
			t.Error(violation)
		}
	})
}

func TestNew_SameSeed_SameNamesZonesAndAddresses(t *testing.T) {
	describe := func() []string {
		var machines []string
		synctest.Test(t, func(t *testing.T) {
			f, err := New(Options{Seed: 3, Folder: t.TempDir()})
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range f.machinesOf(coreClass, storageClass, edgeClass) {
				machines = append(machines, m.name+" "+m.zone+" "+m.host.Address())
			}
			f.Close()
		})
		return machines
	}
	want := describe()
	for range 10 {
		if got := describe(); !slices.Equal(want, got) {
			t.Fatalf("the same seed gave the machines %v, and then %v", want, got)
		}
	}
}
