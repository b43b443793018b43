package transport

import (
	"errors"
	"net"
	"net/netip"

	"github.com/go-kit/log/level"
)

// SendDatagram sends a payload to an address (IP:port) once; it may be lost. A *TooLongError means that it exceeds
// MaxDatagramBytes.
func (s *Server) SendDatagram(address string, payload []byte) error {
	if len(payload) > MaxDatagramBytes {
		return &TooLongError{Bytes: len(payload), Bound: MaxDatagramBytes}
	}
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	_, err = s.packets.WriteToUDPAddrPort(payload, target)
	return err
}

// readDatagrams hands datagrams to the handler until Close closes their socket; Close waits for it.
func (s *Server) readDatagrams() {
	defer s.running.Done()
	buffer := make([]byte, MaxDatagramBytes+1) // one more byte shows a payload over the bound
	names := map[netip.AddrPort]string{}
	for {
		count, sender, err := s.packets.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			level.Debug(s.logger).Log("msg", "reading datagram failed", "err", err)
			continue
		}
		if count > MaxDatagramBytes {
			continue
		}
		s.handlers.datagram(nameOf(names, sender), buffer[:count])
	}
}

// nameOf returns a sender's address as text, from a cache of maxCachedAddresses.
func nameOf(names map[netip.AddrPort]string, sender netip.AddrPort) string {
	name, known := names[sender]
	if known {
		return name
	}
	if len(names) >= maxCachedAddresses {
		clear(names)
	}
	name = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()).String()
	names[sender] = name
	return name
}
