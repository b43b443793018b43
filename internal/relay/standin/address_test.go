package standin

import (
	"net"
	"testing"
)

// Many addresses are handed out before the first of them is used; nothing else may have taken one by then.
func TestFreeAddress_UsedLate_IsStillFree(t *testing.T) {
	var addresses []string
	for range hostsPerProcess {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, address)
	}
	for range 2000 { // each takes a port on 127.0.0.1 for a moment
		other, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("%s is taken: %v", address, err)
			continue
		}
		defer listener.Close()
	}
}
