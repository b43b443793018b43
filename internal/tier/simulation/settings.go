package simulation

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"gopkg.in/yaml.v3"

	"mastusher/internal/tier/settings"
)

// Ports, the same on all machines.
const (
	controlPort   = 8144
	frontPort     = 8080
	readinessPort = 8081
	firstPort     = 7380
	lastPort      = 7395
	endpointPort  = 9000
	platformPort  = 8000
)

// Values of the settings files.
const (
	gracePeriod       = 8 * time.Second // from SIGTERM to the kill of a process
	toleratedMachines = 1               // machines of a group that may be lost at once
	replicasPerShard  = 2*toleratedMachines + 1
	catchUpTime       = 4300 * time.Millisecond // for which a machine that is back still counts as lost
	seedDelay         = 3 * time.Second         // from the removal of a machine to the update of the seeds in the settings
	listRatePerS      = 20.0                    // requests for the platform's list
	memoryMb          = 256
	openFiles         = 4096
	settingMode       = 0o644
)

// writeSettings writes the settings file of a process, as the platform does, and returns its path.
func (f *Fleet) writeSettings(m *machine, r role) string {
	path := f.settingsPath(m, r)
	raw, err := yaml.Marshal(f.settingsOf(m, r))
	if err == nil {
		err = os.WriteFile(path, raw, settingMode)
	}
	if err != nil {
		f.report("HARNESS", "settings of %s: %v", m.name, err)
	}
	return path
}

// settingsOf returns the content of a process's settings file. Only the first start of an initial machine is a first boot.
func (f *Fleet) settingsOf(m *machine, r role) map[string]any {
	listenOn, serves := map[string]any{}, []string{}
	switch r {
	case proxyRole:
		serves = append(serves, settings.ServesEdge)
		listenOn["frontHttp"], listenOn["readiness"] = m.address(frontPort), m.address(readinessPort)
	case controllerRole:
		serves = append(serves, settings.ServesControl)
		listenOn["control"] = m.address(controlPort)
	case storeRole:
		serves = append(serves, settings.ServesStorage)
	}
	regions := map[string]any{}
	for zone := range f.options.Zones {
		regions[zoneName(zone)] = "region"
	}
	f.mutex.Lock()
	firstBoot := m.initial && m.starts <= len(m.roles)
	seeds := f.seedAddresses
	f.mutex.Unlock()
	file := map[string]any{
		"nodeName":        m.name,
		"role":            string(r),
		"machineClass":    string(m.class),
		"serves":          serves,
		"ip":              m.host.Address(),
		"zone":            m.zone,
		"zones":           regions,
		"listenOn":        listenOn,
		"portRange":       []int{firstPort, lastPort},
		"seedNodes":       seeds,
		"firstBoot":       firstBoot,
		"countsForQuorum": m.countsForQuorum(),
		"limits":          map[string]any{"memoryMb": memoryMb, "openFiles": openFiles},
		"findBy":          "cloud_api",
		"survive":         map[string]any{"machines": toleratedMachines, "zones": 0, "regions": 0},
		"bounds":          map[string]any{"graceS": gracePeriod.Seconds(), "catchUpS": catchUpTime.Seconds()},
		"cloudApi":        map[string]any{"address": net.JoinHostPort(platformAddress, strconv.Itoa(platformPort)), "ratePerS": listRatePerS},
	}
	if m.countsForQuorum() {
		file["dataFolder"] = "/disk"
	}
	return file
}

// zoneName returns the name of a zone.
func zoneName(number int) string { return fmt.Sprintf("zone-%d", number) }
