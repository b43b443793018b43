package testcluster

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the relay's program, built for the test cluster (tag fleetrig).
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "testcluster")
	if err == nil {
		binary = filepath.Join(dir, "mastusher")
		var out []byte
		if out, err = exec.Command("go", "build", "-tags", "fleetrig", "-o", binary, "mastusher/cmd/mastusher").CombinedOutput(); err != nil {
			os.Stderr.Write(out)
		}
	}
	code := 1
	if err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestRunScenario_ScenariosOfDeploy_NoBreach: each scenario in deploy/fleet runs without a breach, and the fleet recovers from its faults.
func TestRunScenario_ScenariosOfDeploy_NoBreach(t *testing.T) {
	all, err := List("../../../../deploy/fleet")
	if err != nil || len(all) == 0 {
		t.Fatal(err, len(all))
	}
	for _, s := range all {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			r, err := RunScenario(s, binary, t.TempDir(), nil)
			if err != nil {
				t.Fatal(err)
			}
			if r.Bad() {
				t.Fatal(r)
			}
			t.Log(r, r.FaultsDuringChange, r.ChangeTimes)
		})
	}
}
