package localtier

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"gopkg.in/yaml.v3"

	"mastusher/internal/tier/settings"
)

// Classes of machines, and the roles that run there.
const (
	CoreClass    = "core"
	StorageClass = "storage"
	EdgeClass    = "edge"

	ControllerRole = "controller"
	StoreRole      = "store"
	ProxyRole      = "proxy"
	AgentRole      = "agent"
)

// zone is the only one.
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

// Counts says how many machines of each class there are.
type Counts struct {
	Core    int
	Storage int
	Edge    int
}

// layOut names the machines and gives them addresses that nothing listens on.
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

// Loopback networks are drawn at random, so that several tiers may run at the same time.
const (
	networkTries = 20
	lowestOctet  = 2
	highestOctet = 250
)

// freeNetwork finds three octets of loopback addresses on which the first machine's port is free.
func freeNetwork() (string, error) {
	var last error
	for range networkTries {
		network := fmt.Sprintf("127.%d.%d", octet(), octet())
		listener, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", network, ControlPort))
		if err == nil {
			return network, listener.Close()
		}
		last = err
	}
	return "", fmt.Errorf("no free loopback network: %w", last)
}

func octet() int { return lowestOctet + rand.IntN(highestOctet-lowestOctet) }

// writeSettings writes the settings file of one process, as an operator would. The whole system starts for the first time once
// only.
func (t *Tier) writeSettings(m Machine, role string, firstBoot bool) error {
	file := settingsOf(m, role, t.Addresses(CoreClass, ControlPort), t.options.Platform, firstBoot)
	if m.Class != EdgeClass {
		disk := t.diskOf(m)
		if err := os.MkdirAll(disk, 0o755); err != nil {
			return err
		}
		file["dataFolder"] = disk
	}
	raw, err := yaml.Marshal(file)
	if err != nil {
		return err
	}
	if _, err := settings.Parse(raw); err != nil {
		return fmt.Errorf("settings of %s/%s: %w", m.Name, role, err)
	}
	return os.WriteFile(t.settingsPath(m, role), raw, 0o644)
}

func (t *Tier) settingsPath(m Machine, role string) string {
	return filepath.Join(t.options.Folder, m.Name+"-"+role+".yaml")
}

func (t *Tier) diskOf(m Machine) string { return filepath.Join(t.options.Folder, "disk", m.Name) }

// settingsOf gives the content of a settings file.
func settingsOf(m Machine, role string, seeds []string, platform string, firstBoot bool) map[string]any {
	listenOn := map[string]any{}
	serves := []string{}
	switch role {
	case ProxyRole:
		serves = append(serves, settings.ServesEdge)
		listenOn["frontHttp"] = m.Address(FrontPort)
		listenOn["readiness"] = m.Address(ReadinessPort)
	case ControllerRole:
		serves = append(serves, settings.ServesControl)
		listenOn["control"] = m.Address(ControlPort)
	case StoreRole:
		serves = append(serves, settings.ServesStorage)
	}
	return map[string]any{
		"nodeName":        m.Name,
		"role":            role,
		"machineClass":    m.Class,
		"serves":          serves,
		"ip":              m.IP,
		"zone":            zone,
		"zones":           map[string]any{zone: "region"},
		"listenOn":        listenOn,
		"portRange":       []int{FirstPort, lastPort},
		"seedNodes":       seeds,
		"firstBoot":       firstBoot,
		"countsForQuorum": m.Class != EdgeClass,
		"limits":          map[string]any{"memoryMb": 256, "openFiles": 4096},
		"findBy":          "cloud_api",
		"survive":         map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          map[string]any{"graceS": processGrace},
		"cloudApi":        map[string]any{"address": platform, "ratePerS": 20.0},
	}
}
