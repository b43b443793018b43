package partitionnetwork

import (
	"errors"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// attach replaces the filter of a socket.
func attach(socket syscall.RawConn, filter []unix.SockFilter) error {
	var optionErr error
	err := socket.Control(func(descriptor uintptr) {
		program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
		optionErr = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	return errors.Join(err, optionErr)
}

// Constants of classic BPF.
const (
	networkHeader = -0x100000  // base offset of the network layer's header (SKF_NET_OFF)
	sourceOffset  = 12         // offset of the source address in an IPv4 header
	acceptAll     = 0xffffffff // number of bytes of the packet to keep
)

// dropFilter returns a filter that drops packets from some IPv4 addresses and accepts all others.
func dropFilter(addresses []string) ([]unix.SockFilter, error) {
	at := int32(networkHeader + sourceOffset)
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: uint32(at)}}
	for i, text := range addresses {
		parsed, err := netip.ParseAddr(text)
		if err != nil {
			return nil, err
		}
		octets := parsed.As4()
		source := uint32(octets[0])<<24 | uint32(octets[1])<<16 | uint32(octets[2])<<8 | uint32(octets[3])
		toDrop := uint8(len(addresses) - i) // jump offset past the other addresses and the accepting return
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: source, Jt: toDrop})
	}
	return append(filter, unix.SockFilter{Code: unix.BPF_RET, K: acceptAll}, unix.SockFilter{Code: unix.BPF_RET}), nil
}
