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
	here        = "127.83.7.1"
	there       = "127.83.7.2"
	testTimeout = 5 * time.Second
	dropWait    = 200 * time.Millisecond // time in which a byte or datagram arrives unless it is dropped
)

// machine returns the network of an address, and a function that sets the addresses from which it is partitioned.
func machine(t *testing.T, address string) (*Network, func(addresses string)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "partitions")
	set := func(addresses string) {
		if err := os.WriteFile(path, []byte(addresses), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	set("")
	made, err := New(address, path)
	if err != nil {
		t.Fatal(err)
	}
	return made, func(addresses string) {
		set(addresses)
		if err := made.reload(); err != nil {
			t.Fatal(err)
		}
	}
}

// exchange sends one byte and reads it at the other end.
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

func TestNetwork_Partition_DropsTCPUntilItHeals(t *testing.T) {
	near, _ := machine(t, here)
	far, partition := machine(t, there)
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
	if err := exchange(dialled, accepted, testTimeout); err != nil {
		t.Fatalf("before the partition: %v", err)
	}

	partition("127.83.7.9 " + here)
	if err := exchange(dialled, accepted, dropWait); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v of an exchange during the partition, want a timeout", err)
	}
	bounded, cancel := context.WithTimeout(t.Context(), dropWait)
	defer cancel()
	if _, err := near.Dial(bounded, new(net.Dialer), "tcp4", listening.Addr().String()); err == nil {
		t.Error("a connection was opened during the partition")
	}

	partition("")
	if err := exchange(dialled, accepted, testTimeout); err != nil {
		t.Errorf("after the partition: %v", err)
	}
}

func TestNetwork_Partition_DropsDatagrams(t *testing.T) {
	near, _ := machine(t, here)
	far, partition := machine(t, there)
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
		addresses string
		arrives   bool
	}{{"", true}, {here, false}, {"127.83.7.9", true}} {
		partition(c.addresses)
		if _, err := sender.WriteToUDPAddrPort([]byte{7}, to); err != nil {
			t.Fatal(err)
		}
		if err := socket.SetReadDeadline(time.Now().Add(dropWait)); err != nil {
			t.Fatal(err)
		}
		if _, _, err := receiver.ReadFromUDPAddrPort(make([]byte, 1)); (err == nil) != c.arrives {
			t.Errorf("partitioned from %q: %v", c.addresses, err)
		}
	}
}

func TestNew_InvalidAddressOrFile_Fails(t *testing.T) {
	path := filepath.Join(t.TempDir(), "partitions")
	if _, err := New(here, path); err == nil {
		t.Error("a missing file was accepted")
	}
	if _, err := New("nowhere", path); err == nil {
		t.Error("an invalid address of the machine was accepted")
	}
	if err := os.WriteFile(path, []byte("nowhere"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(here, path); err == nil {
		t.Error("a file with an invalid address was accepted")
	}
}

func TestDeployedBinary_Dependencies_HaveNoFaultInjection(t *testing.T) {
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
