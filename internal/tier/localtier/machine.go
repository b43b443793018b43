package localtier

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// Classes of machines, and roles of processes.
const (
	CoreClass    = "core"
	StorageClass = "storage"
	EdgeClass    = "edge"

	ControllerRole = "controller"
	StoreRole      = "store"
	ProxyRole      = "proxy"
	AgentRole      = "agent"
)

// zone is the zone of all machines and endpoints.
const zone = "hall"

// Machine is one machine of a tier: an address of its own within 127.0.0.0/8.
type Machine struct {
	Name  string
	Class string
	IP    string
	Roles []string
}

// Address returns host and port.
func (m Machine) Address(port int) string { return net.JoinHostPort(m.IP, strconv.Itoa(port)) }

// Counts holds the number of machines of each class.
type Counts struct {
	Core    int
	Storage int
	Edge    int
}

// layOut returns machines with names, roles and addresses in a free loopback network.
func layOut(counts Counts) ([]Machine, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	var machines []Machine
	add := func(class string, count int, roles ...string) {
		for number := range count {
			ip := fmt.Sprintf("%s.%d", network, len(machines)+1)
			machines = append(machines, Machine{Name: fmt.Sprintf("%s-%d", class, number+1), Class: class, IP: ip, Roles: roles})
		}
	}
	add(CoreClass, counts.Core, ControllerRole)
	add(StorageClass, counts.Storage, StoreRole)
	add(EdgeClass, counts.Edge, AgentRole, ProxyRole)
	return machines, nil
}

// Loopback networks are chosen at random, so that several tiers may run at the same time.
const (
	networkAttempts = 20
	lowestOctet     = 2
	highestOctet    = 250
)

// freeNetwork returns the first three octets of a loopback network on whose first address the ControlPort is free. Another
// process may still take it before the tier starts.
func freeNetwork() (string, error) {
	var last error
	for range networkAttempts {
		network := fmt.Sprintf("127.%d.%d", octet(), octet())
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", network, ControlPort))
		if err == nil {
			return network, listener.Close()
		}
		last = err
	}
	return "", fmt.Errorf("no free loopback network: %w", last)
}

// octet draws an octet of a loopback network.
func octet() int { return lowestOctet + rand.IntN(highestOctet-lowestOctet) }
