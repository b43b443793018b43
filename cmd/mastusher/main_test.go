package main

import (
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/wiretest"
)

func TestRun_Commands_ExitCodes(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.json"), filepath.Join(dir, "bad.json")
	writeFile(t, good, []byte(minimalConfig))
	writeFile(t, bad, []byte(`{}`))
	for _, c := range []struct {
		args string
		want int
	}{
		{"version", 0}, {"--help", 0}, {"check-config --config " + good, 0}, {"check-config --config " + bad, 1},
		{"serve --config " + bad, 1}, {"--log-level loud", 2}, {"--nonsense", 2}, {"dance", 2}, {"version twice", 2},
		{"dance --help", 2}, {"plugin dance", 2}, {"plugin dance --help", 2}, {"plugin --help", 0}, {"plugin check --help", 0},
		{"make-key " + filepath.Join(dir, "key"), 0}, {"make-key " + filepath.Join(dir, "key"), 1},
	} {
		if got := run(strings.Fields(c.args), io.Discard, io.Discard); got != c.want {
			t.Errorf("mastusher %s: exit %d, want %d", c.args, got, c.want)
		}
	}
}

// TestHelp_NamesTierAndLinksNoneOfIt checks that the relay's help refers to mastusher-tier, and that the relay links none of its packages.
func TestHelp_NamesTierAndLinksNoneOfIt(t *testing.T) {
	var help strings.Builder
	if got := run([]string{"--help"}, &help, io.Discard); got != 0 {
		t.Fatalf("exit %d", got)
	}
	for _, word := range []string{"mastusher-tier", "proxy", "agent", "controller", "store"} {
		if !strings.Contains(help.String(), word) {
			t.Errorf("the help does not mention %s:\n%s", word, help.String())
		}
	}
	output, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil || strings.Contains(string(output), "mastusher/internal/tier") {
		t.Errorf("the relay links packages of the tier (%v)", err)
	}
}

// TestRun_UnknownCommand_NamesNearest checks that the error for a subcommand that does not exist suggests a similar one, also with
// --help.
func TestRun_UnknownCommand_NamesNearest(t *testing.T) {
	for _, args := range []string{"serv --help", "serv"} {
		var errs strings.Builder
		if got := run(strings.Fields(args), io.Discard, &errs); got != 2 || !strings.Contains(errs.String(), "serve") {
			t.Errorf("mastusher %s: exit %d, %q", args, got, errs.String())
		}
	}
}

// TestLoad_OperatorFile_IsAccepted checks that the example configuration in deploy/ is valid.
func TestLoad_OperatorFile_IsAccepted(t *testing.T) {
	if _, err := config.Load("../../deploy/activitypub.json", os.Getenv); err != nil {
		t.Error(err)
	}
}

// TestServe_Terminated_AnswersWhileDraining checks that clients still get answers after SIGTERM, and that the process then ends on its
// own.
func TestServe_Terminated_AnswersWhileDraining(t *testing.T) {
	address := freeAddress(t)
	cfg, err := config.Parse([]byte(strings.Replace(minimalConfig, "STATE", t.TempDir(), 1)), func(k string) string {
		return map[string]string{"RELAY_LISTEN": address}[k]
	})
	if err != nil {
		t.Fatal(err)
	}
	stop, ended, ready := make(chan os.Signal, 1), make(chan error), make(lifecycleLog, 9)
	log := slog.New(slog.NewTextHandler(ready, nil))
	go func() { ended <- serve(cfg, log, signals{end: stop}, nil) }()
	<-ready // "relay serving"
	conn := wiretest.Dial(t, address)
	wiretest.Run(t, conn, "testdata/up.txt")
	stop <- syscall.SIGTERM
	<-ready // "relay draining"
	wiretest.Run(t, conn, "testdata/draining.txt")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestServe_Hangup_WatchFollowsFile checks that SIGHUP moves the discovery watch to the address in the file, whatever the environment
// says. An invalid file must change nothing, and its log line must name the key.
func TestServe_Hangup_WatchFollowsFile(t *testing.T) {
	file, before, after := filepath.Join(t.TempDir(), "config.json"), wiretest.Listen(t), wiretest.Listen(t)
	write := func(discovery string) {
		s := strings.NewReplacer("STATE", t.TempDir(), `"discovery": "127.0.0.1:1"`, `"discovery": `+discovery).Replace(minimalConfig)
		writeFile(t, file, []byte(s))
	}
	load := func() (*config.Config, error) {
		return config.Load(file, func(k string) string {
			return map[string]string{"RELAY_LISTEN": "127.0.0.1:0", "RELAY_DISCOVERY": before.Addr().String()}[k]
		})
	}
	watched := func(l net.Listener) {
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		wiretest.Run(t, conn, "testdata/watch.txt")
	}
	write(`"` + before.Addr().String() + `"`)
	cfg, err := load()
	if err != nil {
		t.Fatal(err)
	}
	hup, end, ended, logged := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan error), make(lifecycleLog, 9)
	go func() { ended <- serve(cfg, slog.New(slog.NewTextHandler(logged, nil)), signals{end, hup}, load) }()
	<-logged // "relay serving"
	watched(before)
	write(`7`)
	hup <- syscall.SIGHUP
	if message := <-logged; !strings.Contains(message, "key discovery") {
		t.Errorf("the log says %q and names no key", message)
	}
	write(`"` + after.Addr().String() + `"`)
	hup <- syscall.SIGHUP
	watched(after)
	end <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// lifecycleLog forwards the log lines about starting, draining and reloading.
type lifecycleLog chan string

func (c lifecycleLog) Write(b []byte) (int, error) {
	if strings.Contains(string(b), "relay serving") || strings.Contains(string(b), "relay draining") || strings.Contains(string(b), "configuration") {
		c <- string(b)
	}
	return len(b), nil
}
