package partitionnetwork

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	here     = "127.83.7.1"
	there    = "127.83.7.2"
	patience = 5 * time.Second
	quiet    = 200 * time.Millisecond // in which something comes, where it may
)

// machine returns the network of an address, and a function that sets what it is cut off from.
func machine(t *testing.T, address string) (*Network, func(cutOff string)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "cuts")
	set := func(cutOff string) {
		if err := os.WriteFile(path, []byte(cutOff), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	set("")
	made, err := New(address, path)
	if err != nil {
		t.Fatal(err)
	}
	return made, func(cutOff string) {
		set(cutOff)
		if err := made.look(); err != nil {
			t.Fatal(err)
		}
	}
}

// exchange sends one byte and reads it at the other side.
func exchange(from, to net.Conn, wait time.Duration) error {
	if _, err := from.Write([]byte{7}); err != nil {
		return err
	}
	if err := to.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	_, err := io.ReadFull(to, make([]byte, 1))
	return err
}

func TestACutDropsWhatComesAndItsEndLetsItIn(t *testing.T) {
	near, _ := machine(t, here)
	far, cut := machine(t, there)
	listening, err := far.Listen(t.Context(), new(net.ListenConfig), "tcp4", there+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer listening.Close()
	dialled, err := near.Dial(t.Context(), new(net.Dialer), "tcp4", listening.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := listening.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if err := exchange(dialled, accepted, patience); err != nil {
		t.Fatalf("before the cut: %v", err)
	}

	cut("127.83.7.9 " + here)
	if err := exchange(dialled, accepted, quiet); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("during the cut: %v", err)
	}
	bounded, cancel := context.WithTimeout(t.Context(), quiet)
	defer cancel()
	if _, err := near.Dial(bounded, new(net.Dialer), "tcp4", listening.Addr().String()); err == nil {
		t.Error("a connection opened during the cut")
	}

	cut("")
	if err := exchange(dialled, accepted, patience); err != nil {
		t.Errorf("after the cut: %v", err)
	}
}

func TestDatagramsAreCut(t *testing.T) {
	near, _ := machine(t, here)
	far, cut := machine(t, there)
	sender, err := near.ListenPacket(&net.UDPAddr{IP: net.ParseIP(here)})
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	receiver, err := far.ListenPacket(&net.UDPAddr{IP: net.ParseIP(there)})
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	socket := receiver.(*net.UDPConn)
	to := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, c := range []struct {
		cutOff string
		comes  bool
	}{{"", true}, {here, false}, {"127.83.7.9", true}} {
		cut(c.cutOff)
		if _, err := sender.WriteToUDPAddrPort([]byte{7}, to); err != nil {
			t.Fatal(err)
		}
		if err := socket.SetReadDeadline(time.Now().Add(quiet)); err != nil {
			t.Fatal(err)
		}
		if _, _, err := receiver.ReadFromUDPAddrPort(make([]byte, 1)); (err == nil) != c.comes {
			t.Errorf("cut off from %q: %v", c.cutOff, err)
		}
	}
}

func TestABadListIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cuts")
	if _, err := New(here, path); err == nil {
		t.Error("without a file")
	}
	if _, err := New("nowhere", path); err == nil {
		t.Error("without an address")
	}
	if err := os.WriteFile(path, []byte("nowhere"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(here, path); err == nil {
		t.Error("with a list that can't be read")
	}
}

func TestTheDeployedBinaryCannotBeCut(t *testing.T) {
	output, err := exec.Command("go", "list", "-deps", "mastusher/cmd/mastusher-tier").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, unwanted := range []string{"partitionnetwork", "internal/tier/soak", "localtier", "memorynetwork"} {
		if strings.Contains(string(output), unwanted) {
			t.Errorf("mastusher-tier links %s", unwanted)
		}
	}
}
