package standin

import (
	"net"
	"testing"
)

// TestFreeAddress_UsedLate_IsStillFree hands out many addresses before it uses the first of them. Listeners on 127.0.0.1 that are opened
// in between must not take any.
func TestFreeAddress_UsedLate_IsStillFree(t *testing.T) {
	var addresses []string
	for range hostsPerProcess {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, address)
	}
	for range 2000 { // each takes a port on 127.0.0.1
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
