package localtier

import (
	"fmt"
	"os"
	"path/filepath"

	"gopkg.in/yaml.v3"

	"mastusher/internal/tier/settings"
)

// writeSettings writes the settings file of one process, as an operator would. firstBoot must be true only when the complete
// system starts for the first time.
func (t *Tier) writeSettings(m Machine, role string, firstBoot bool) error {
	file := settingsFile(m, role, t.Addresses(CoreClass, ControlPort), t.options.Platform, firstBoot)
	file["limits"] = t.options.Limits[m.Class].orDefault().section()
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
	if _, err = settings.Parse(raw); err != nil {
		return fmt.Errorf("settings of %s/%s: %w", m.Name, role, err)
	}
	return os.WriteFile(t.settingsPath(m, role), raw, 0o644)
}

// Limits are the resource limits in the settings of each process.
type Limits struct {
	MemoryMb  int64
	OpenFiles int64
}

// defaultLimits are the limits of machines whose class has none in the Options.
var defaultLimits = Limits{MemoryMb: 256, OpenFiles: 4096}

// orDefault returns the limits, or the defaults if none is set.
func (l Limits) orDefault() Limits {
	if l == (Limits{}) {
		return defaultLimits
	}
	return l
}

// section returns the section of the settings file.
func (l Limits) section() map[string]any {
	return map[string]any{"memoryMb": l.MemoryMb, "openFiles": l.OpenFiles}
}

// settingsPath returns the settings file of a process.
func (t *Tier) settingsPath(m Machine, role string) string {
	return filepath.Join(t.options.Folder, m.Name+"-"+role+".yaml")
}

// diskOf returns the data folder of a machine, which serves as its disk.
func (t *Tier) diskOf(m Machine) string { return filepath.Join(t.options.Folder, "disk", m.Name) }

// settingsFile returns the content of a settings file.
func settingsFile(machine Machine, role string, seeds []string, platform string, firstBoot bool) map[string]any {
	listenOn := map[string]any{}
	serves := []string{}
	switch role {
	case ProxyRole:
		serves = append(serves, settings.ServesEdge)
		listenOn["frontHttp"] = machine.Address(FrontPort)
		listenOn["readiness"] = machine.Address(ReadinessPort)
	case ControllerRole:
		serves = append(serves, settings.ServesControl)
		listenOn["control"] = machine.Address(ControlPort)
	case StoreRole:
		serves = append(serves, settings.ServesStorage)
	}
	return map[string]any{
		"nodeName":        machine.Name,
		"role":            role,
		"machineClass":    machine.Class,
		"serves":          serves,
		"ip":              machine.IP,
		"zone":            zone,
		"zones":           map[string]any{zone: "region"},
		"listenOn":        listenOn,
		"portRange":       []int{FirstPort, lastPort},
		"seedNodes":       seeds,
		"firstBoot":       firstBoot,
		"countsForQuorum": machine.Class != EdgeClass,
		"findBy":          "cloud_api",
		"survive":         map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          map[string]any{"graceS": graceSeconds},
		"cloudApi":        map[string]any{"address": platform, "ratePerS": 20.0},
	}
}
