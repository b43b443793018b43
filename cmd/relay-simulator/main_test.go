package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const small = `
name = "small"
length = "3s"
rate = 60.0
[[partner]]
name = "a"
count = 3
workers = 2
queue = 2
tells = true
[[trouble]]
kind = "silent"
share = 0.5
at = "1s"
for = "1s"
`

const sweep = `
name = "small"
policies = ["module", "single"]
[sweep]
key = "rate"
values = [20.0, 40.0]
[world]
length = "2s"
[[world.partner]]
name = "a"
`

// TestCommand_EachSubcommand_RunsOrNamesWhatIsWrong runs each subcommand, with invalid arguments too: the error must name what is wrong.
func TestCommand_EachSubcommand_RunsOrNamesWhatIsWrong(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	world, exp, bad := file("world.toml", small), file("exp.toml", sweep), file("bad.toml", small+"colour = 3\n")
	results, page := filepath.Join(dir, "results"), filepath.Join(dir, "page.html") // written by commands
	for _, c := range []struct {
		args []string
		ok   bool
		want string
	}{
		{[]string{"fleet", "list", filepath.Join("..", "..", "deploy", "fleet")}, true, "leader-dies-decided"},
		{[]string{"fleet", "run", file("s1.toml", "relays = 3\nvoters = 2\n")}, false, "key voters"},
		{[]string{"fleet", "run", file("s2.toml", "relays = 3\nvoters = 3\ncolour = 1\n")}, false, "key colour is not known"},
		{[]string{"fleet", "run", file("s3.toml", "relays = 3\nvoters = 3\n[[steps]]\ndo = \"dance\"\n")}, false, "key steps.0.do"},
		{[]string{"fleet", "run"}, false, "--random"},
		{[]string{"fleet", "check", file("h1.json", `[{"at":1,"kind":"acted","relay":"a","version":2},{"at":9,"kind":"acted","relay":"b","version":1}]`), "--slack", "1ns"}, false, "old stops before new starts"},
		{[]string{"fleet", "check", file("h2.json", `[{"at":1,"kind":"acted","relay":"a","version":2}]`)}, true, "1 entries, no breach"},
		{[]string{"fleet", "scale", "--sizes", "5"}, true, "relays"},
		{[]string{"run", world, "--html", page}, true, "small, seed 1, under module: worth"},
		{[]string{"run", world, "--policy", "luck"}, false, `no policy "luck"`},
		{[]string{"run", bad}, false, "key trouble.colour"},
		{[]string{"run", filepath.Join(dir, "none")}, false, "no such file"},
		{[]string{"compare", world, "--policies", "module,oracle", "--seeds", "1"}, true, "oracle"},
		{[]string{"compare", world, "--policies", "luck"}, false, "--policies"},
		{[]string{"sweep", exp, "-o", results, "--html", page}, true, "single"},
		{[]string{"sweep", world}, false, "key"},
		{[]string{"plot", results, page}, true, ""},
		{[]string{"plot", world, page}, false, "holds no results"},
		{[]string{"shrink", world}, false, "no such rule is broken"},
		{[]string{"soak", "--for", "300ms"}, true, "no rule was broken"},
		{[]string{"list"}, true, "policies: breaker, budget"},
		{[]string{"load", "--rate", "0"}, false, "--rate"},
		{[]string{"demo", "--quick", "0"}, false, "--quick"},
		{[]string{"demo", "--relay", filepath.Join(dir, "none")}, false, "the relay's program"},
	} {
		var out bytes.Buffer
		cmd := command(&out, &out)
		cmd.SetArgs(c.args)
		if err := cmd.Execute(); (err == nil) != c.ok || !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: %v; it says\n%s", c.args, err, out.String())
		}
	}
	if text, err := os.ReadFile(page); err != nil || !bytes.Contains(text, []byte("<svg")) {
		t.Errorf("the page has no plots: %v", err)
	}
}

// TestDemo_OutageDrainAndKills_EachMessageEndsOnce runs the demo. Despite an outage, a drain and two kills, each message must have exactly
// one outcome, and the page must show the events.
func TestDemo_OutageDrainAndKills_EachMessageEndsOnce(t *testing.T) {
	dir := t.TempDir()
	relay, page := filepath.Join(dir, "mastusher"), filepath.Join(dir, "demo.html")
	if out, err := exec.Command("go", "build", "-o", relay, "../mastusher").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var out bytes.Buffer
	cmd := command(&out, &out)
	cmd.SetArgs([]string{"demo", "--quick", "10", "--relay", relay, "--html", page})
	if err := cmd.Execute(); err != nil || !strings.Contains(out.String(), "0 lost, 0 delivered twice") {
		t.Fatalf("%v\n%s", err, out.String())
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"is killed", "which hangs", "drains", "refused for", "<svg"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
}
