package main

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mastusher/internal/relay/config"
)

// udp is an address on loopback that nobody listens at now.
func udp(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// TestFleet_Commands_AnswersAndExitCodes: one relay founds a fleet, and what operators say to it has the answers and exit codes that scripts rely on.
func TestFleet_Commands_AnswersAndExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		name = filepath.Join(dir, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	peers := fmt.Sprintf(`{"peers": {"fleet": "f", "name": "solo", "listen": %q, "voters": ["solo"], "lease": "500ms"},`, udp(t))
	own := strings.NewReplacer("STATE", filepath.Join(dir, "state"), `"listen": "127.0.0.1:1"`, `"listen": "127.0.0.1:0"`).Replace(text)
	conf := file("relay.json", peers+own[1:])
	if err := os.MkdirAll(filepath.Join(dir, "state"), 0o700); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(conf, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan os.Signal, 1), make(chan error)
	go func() { ended <- serve(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), signals{end: stop}, nil) }()
	say := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := run(append([]string{"--config", conf}, args...), &out, &out)
		return code, out.String()
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"fleet", "status"}, 0, "waits to be taken in"},
		{[]string{"fleet", "force"}, 2, "--majority-is-lost"},
		{[]string{"fleet", "found"}, 0, "relays"},
		{[]string{"fleet", "found"}, 1, "belongs to a fleet already"},
		{[]string{"policy", "check", file("class.json", `{"format":1,"classes":{"other":{}}}`)}, 1, "classes.other: no class"},
		{[]string{"policy", "propose", filepath.Join(dir, "class.json")}, 1, "dropped: solo: policy: key classes.other"},
		{[]string{"policy", "propose", file("odd.json", `{"format":1,"colour":2}`)}, 1, "colour"},
		{[]string{"policy", "propose", file("good.json", `{"format":1,"classes":{"match-event":{"attempts":2}}}`), "--by", "desk"}, 0, "version 2 is in force"},
		{[]string{"policy", "propose", filepath.Join(dir, "good.json"), "--base", "0"}, 1, "version 2 is in force"},
		{[]string{"fleet", "rights"}, 0, "nothing is shared"},
		{[]string{"fleet", "counts"}, 0, "0 relays"},
		{[]string{"policy", "wait", "2"}, 0, ""},
		{[]string{"policy", "wait", "1"}, 1, "dropped"},
		{[]string{"policy", "wait", "9", "--timeout", "200ms"}, 3, "not over"},
		{[]string{"policy", "status"}, 0, `"attempts":2`},
		{[]string{"policy", "history"}, 0, "desk"},
		{[]string{"policy", "diff", file("more.json", `{"format":1,"stamp":true}`)}, 0, "+ stamp true"},
		{[]string{"fleet", "status", "--json"}, 0, `"version": 2`},
		{[]string{"fleet", "status", "--config", file("alone.json", own)}, 1, "peers"},
	} {
		if code, out := say(c.args...); code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: exit %d, want %d with %q; it says\n%s", c.args, code, c.code, c.want, out)
		}
	}
	// What is in force outlasts a restart, and the relay is not ready before it has it.
	stop <- os.Interrupt
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	stop = make(chan os.Signal, 1)
	go func() { ended <- serve(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), signals{end: stop}, nil) }()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if code, out := say("fleet", "status"); code == 0 && strings.Contains(out, "yes") && strings.Contains(out, "policy in force  2") {
			break
		} else if time.Now().After(end) {
			t.Fatal(out)
		}
	}
	stop <- os.Interrupt
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
