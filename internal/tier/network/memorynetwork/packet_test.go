package memorynetwork_test

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

func TestDatagram_Partition_LosesIt(t *testing.T) {
	withPair(t, func(w *pair) {
		here, err := w.from.ListenPacket(&net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7})
		if err != nil {
			t.Fatal(err)
		}
		there, err := w.to.ListenPacket(&net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 7})
		if err != nil {
			t.Fatal(err)
		}
		target := netip.MustParseAddrPort("10.0.0.2:7")
		w.network.Partition(w.here, w.there)
		_, _ = here.WriteToUDPAddrPort([]byte("lost"), target)
		w.network.Heal(w.here, w.there)
		_, _ = here.WriteToUDPAddrPort([]byte("found"), target)
		buffer := make([]byte, 10)
		n, from, err := there.ReadFromUDPAddrPort(buffer)
		if err != nil || string(buffer[:n]) != "found" || from != netip.MustParseAddrPort("10.0.0.1:7") {
			t.Errorf("read %q from %v, error %v; want the second datagram", buffer[:n], from, err)
		}
		time.AfterFunc(time.Second, w.to.Kill)
		if _, _, err := there.ReadFromUDPAddrPort(buffer); !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v of a read by a killed process, want ErrClosed", err)
		}
	})
}
