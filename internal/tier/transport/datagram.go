package transport

import (
	"errors"
	"net"
	"net/netip"

	"github.com/go-kit/log/level"
)

// SendDatagram sends a payload to an address (IP:port) once, without a guarantee of delivery. It returns a *TooLongError if the
// payload exceeds MaxDatagramBytes.
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

// readDatagrams passes datagrams to the handler until Close closes the socket. Close waits for readDatagrams.
func (s *Server) readDatagrams() {
	defer s.running.Done()
	buffer := make([]byte, MaxDatagramBytes+1) // the extra byte reveals a payload over the bound
	cache := map[netip.AddrPort]string{}
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
		s.handlers.datagram(addressText(cache, sender), buffer[:count])
	}
}

// addressText returns a sender's address as text. The cache holds up to maxCachedAddresses texts and is then cleared.
func addressText(cache map[netip.AddrPort]string, sender netip.AddrPort) string {
	text, known := cache[sender]
	if known {
		return text
	}
	if len(cache) >= maxCachedAddresses {
		clear(cache)
	}
	text = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()).String()
	cache[sender] = text
	return text
}
