package memorynetwork_test

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

func TestDatagram_Partition_LosesIt(t *testing.T) {
	withPair(t, func(p *pair) {
		sender, err := p.from.ListenPacket(&net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7})
		if err != nil {
			t.Fatal(err)
		}
		receiver, err := p.to.ListenPacket(&net.UDPAddr{IP: net.IPv4(10, 0, 0, 2), Port: 7})
		if err != nil {
			t.Fatal(err)
		}
		target := netip.MustParseAddrPort("10.0.0.2:7")
		p.network.Partition(p.here, p.there)
		_, _ = sender.WriteToUDPAddrPort([]byte("lost"), target)
		p.network.Heal(p.here, p.there)
		_, _ = sender.WriteToUDPAddrPort([]byte("found"), target)
		buffer := make([]byte, 10)
		n, from, err := receiver.ReadFromUDPAddrPort(buffer)
		if err != nil || string(buffer[:n]) != "found" || from != netip.MustParseAddrPort("10.0.0.1:7") {
			t.Errorf("read %q from %v, error %v; want the second datagram", buffer[:n], from, err)
		}
		time.AfterFunc(time.Second, p.to.Kill)
		if _, _, err := receiver.ReadFromUDPAddrPort(buffer); !errors.Is(err, net.ErrClosed) {
			t.Errorf("error %v of a read by a killed process, want ErrClosed", err)
		}
	})
}
