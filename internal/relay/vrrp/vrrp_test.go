package vrrp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mastusher/internal/relay/config"
)

var (
	low, high = netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.9")
	own       = netip.MustParseAddr("10.0.0.5")
	virtual   = netip.MustParseAddr("10.0.0.100")
	t0        = time.Unix(1_700_000_000, 0)
)

// scripts test a machine against RFC 9568, section 6.4. A line is the time in ms since the start and the event, then the resulting state,
// the time at which the timer is due (ms since the start; 0: never) and the priorities that are advertised.
var scripts = []struct {
	name     string
	priority uint8
	preempt  bool
	script   string
}{
	{"without advertisements it is active after three intervals and the skew", 128, true, `
			0 start backup 3500
			3499 tick backup 3500
			3500 tick active 4500 128
			4500 tick active 5500 128
			5000 stop initialize 0 0`},
	{"the owner is active at once", 255, true, `
			0 start active 1000 255
			10 hear 254 high active 1000 255`},
	{"a router of lower priority is preempted", 128, true, `
			0 start backup 3500
			500 hear 50 high backup 3500
			3500 tick active 4500 128`},
	{"without preemption a router of lower priority stays active", 128, false, `
			0 start backup 3500
			500 hear 50 high backup 4000`},
	{"after priority 0 it waits only for the skew", 128, true, `
			0 start backup 3500
			500 hear 200 high backup 4000
			1000 hear 0 high backup 1500
			1500 tick active 2500 128`},
	{"an active router yields to a higher priority, or to a higher address of equal priority", 128, true, `
			0 start backup 3500
			3500 tick active 4500 128
			3700 hear 128 low active 4500 128
			3800 hear 128 high backup 7300
			7300 tick active 8300 128
			7500 hear 129 low backup 11000`},
	{"an active router that receives priority 0 advertises at once", 128, true, `
			0 start backup 3500
			3500 tick active 4500 128
			4000 hear 0 high active 5000 128`},
	{"a backup router that stops advertises nothing", 128, true, `
			0 start backup 3500
			1 stop initialize 0
			2 hear 0 high initialize 0
			9000 tick initialize 0`},
}

// TestMachine_RFC9568Section64_ReachesEachState runs the scripts.
func TestMachine_RFC9568Section64_ReachesEachState(t *testing.T) {
	for _, test := range scripts {
		t.Run(test.name, func(t *testing.T) {
			machine := NewMachine(Router{VRID: 7, Priority: test.priority, Preempt: test.preempt, Advertise: time.Second, Address: own,
				Virtual: []netip.Addr{virtual}})
			var got, want []string
			for line := range strings.Lines(strings.TrimSpace(test.script)) {
				line = strings.TrimSpace(line)
				want = append(want, line)
				got = append(got, runLine(t, machine, strings.Fields(line)))
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// runLine passes the event of a script's line to the machine and returns the line with the actual result.
func runLine(t *testing.T, machine *Machine, fields []string) string {
	t.Helper()
	ms, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	now := t0.Add(time.Duration(ms) * time.Millisecond)
	var sent []Packet
	event := fields[:2]
	switch fields[1] {
	case "start":
		sent = machine.Startup(now)
	case "stop":
		sent = machine.Shutdown()
	case "tick":
		sent = machine.Tick(now)
	case "hear":
		event = fields[:4]
		priority, err := strconv.ParseUint(fields[2], 10, 8)
		if err != nil {
			t.Fatal(err)
		}
		received := Packet{VRID: 7, Priority: uint8(priority), Advertise: time.Second}
		sent = machine.Receive(now, received, map[string]netip.Addr{"low": low, "high": high}[fields[3]])
	default:
		t.Fatalf("unknown event %q", fields[1])
	}
	due := int64(0)
	if !machine.Due().IsZero() {
		due = machine.Due().Sub(t0).Milliseconds()
	}
	line := fmt.Sprint(strings.Join(event, " "), " ", machine.State(), " ", due)
	for _, packet := range sent {
		line += fmt.Sprint(" ", packet.Priority)
	}
	return line
}

// good is an advertisement. Its checksum is the complement of 3107+6401+0064+0a00+0064 = 9fd0.
var good = []byte{0x31, 7, 100, 1, 0, 100, 0x60, 0x2f, 10, 0, 0, 100}

func TestPacket_EncodedAndDecoded_IsTheSame(t *testing.T) {
	packet := Packet{VRID: 7, Priority: 100, Advertise: time.Second, Addresses: []netip.Addr{virtual}}
	if b := packet.Encode(low, high); !bytes.Equal(b, good) {
		t.Errorf("encoded %x, want %x", b, good)
	}
	for _, test := range []struct {
		name string
		byte int  // index of the changed byte
		to   byte // its new value
		err  error
	}{
		{"intact", 0, 0x31, nil},
		{"version 2", 0, 0x21, ErrVersion},
		{"not an advertisement", 0, 0x32, ErrType},
		{"wrong count", 3, 2, ErrCount},
		{"no address", 3, 0, ErrCount},
		{"one bit changed", 11, 101, ErrChecksum},
	} {
		b := bytes.Clone(good)
		b[test.byte] = test.to
		got, err := Decode(b, low, high)
		if !errors.Is(err, test.err) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.err)
		}
		if d := cmp.Diff(packet, got, cmpopts.EquateComparable(netip.Addr{})); test.err == nil && d != "" {
			t.Errorf("%s (-want +got)\n%s", test.name, d)
		}
	}
	if _, err := Decode(good[:7], low, high); !errors.Is(err, ErrShort) {
		t.Errorf("error %v, want %v", err, ErrShort)
	}
	six, other := netip.MustParseAddr("fe80::1"), netip.MustParseAddr("fe80::2")
	packet.Addresses = []netip.Addr{six}
	b := packet.Encode(six, other)
	if _, err := Decode(b, six, other); err != nil {
		t.Error(err)
	}
	if _, err := Decode(b, six, virtual); !errors.Is(err, ErrChecksum) { // the checksum covers the pseudo-header
		t.Errorf("error %v, want %v", err, ErrChecksum)
	}
}

// TestInstance_ForeignPackets_AreDroppedAndCounted: packets other than a peer's advertisements of this virtual router are dropped and
// counted by reason.
func TestInstance_ForeignPackets_AreDroppedAndCounted(t *testing.T) {
	in, err := Listen(&config.VRRP{Listen: "127.0.0.1:0", VRID: 7, Priority: 100, Advertise: 40 * time.Second,
		Address: net.ParseIP("127.0.0.1"), Virtual: []net.IP{net.ParseIP("10.0.0.100")}, Peers: []string{"127.0.0.2:9"}},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer in.Shutdown()
	peer := netip.MustParseAddr("127.0.0.2")
	bad := bytes.Clone(good)
	bad[2] = 1
	other := (&Packet{VRID: 8, Advertise: time.Second, Addresses: []netip.Addr{virtual}}).Encode(peer, in.address)
	in.receive(good, peer)
	in.receive(good, in.address)
	in.receive(good, high)
	in.receive(bad, peer)
	in.receive(nil, peer)
	in.receive(other, peer)
	c := &in.Counts
	got := []uint64{c.Accepted.Load(), c.Own.Load(), c.UnknownPeer.Load(), c.Checksum.Load(), c.Malformed.Load(), c.OtherRouter.Load()}
	if d := cmp.Diff([]uint64{1, 1, 1, 1, 1, 1}, got); d != "" || in.Active() {
		t.Errorf("active %v, counts (-want +got)\n%s", in.Active(), d)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(good)
	f.Fuzz(func(t *testing.T, in []byte) {
		first, err := Decode(in, low, high)
		if err != nil {
			return
		}
		second, err := Decode(first.Encode(low, high), low, high)
		if d := cmp.Diff(first, second, cmpopts.EquateComparable(netip.Addr{})); err != nil || d != "" {
			t.Errorf("error %v (-first +second)\n%s", err, d)
		}
	})
}
