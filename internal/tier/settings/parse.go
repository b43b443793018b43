package settings

import (
	"fmt"
	"math"
	"slices"

	"gopkg.in/yaml.v3"

	"mastusher/internal/tier/validation"
)

// Maximum values.
const (
	maxPort     = 65535
	maxQuantity = 1 << 50 // of megabytes, descriptors
	maxCount    = math.MaxInt32
)

// Parse parses and validates the content of a settings file. Its error holds all field errors; see validation.FieldErrors.
func Parse(raw []byte) (*Settings, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(raw, &document); err != nil {
		return nil, &validation.FieldError{Reason: fmt.Sprintf("is no YAML: %v", err)}
	}
	var errs error
	top := section{errs: &errs}
	if !isEmpty(&document) {
		top = newSection("", "", &document, &errs)
	}
	parsed := read(top)
	if parsed.Region == "" {
		parsed.Region = parsed.Zones[parsed.Zone]
	}
	if errs != nil {
		return nil, errs
	}
	return parsed, nil
}

// read reads all known keys. Errors are collected in the section.
func read(top section) *Settings {
	serves := top.texts("serves")
	discovery := top.text("findBy", optional)
	return &Settings{
		NodeName:        top.text("nodeName", required),
		Role:            top.text("role", required),
		MachineClass:    top.text("machineClass", required),
		Serves:          serves,
		IP:              top.ip("ip", required),
		Zone:            top.text("zone", required),
		Region:          top.text("region", optional),
		Zones:           readZones(top),
		ListenOn:        readListenOn(top.inner("listenOn"), serves),
		PortRange:       readPortRange(top),
		SeedNodes:       top.addresses("seedNodes"),
		Bootstrap:       top.boolean("firstBoot"),
		CountsForQuorum: top.boolean("countsForQuorum"),
		Limits:          readLimits(top.inner("limits")),
		DataDir:         top.text("dataFolder", optional),
		Discovery:       discovery,
		IngressKind:     top.text("entryKind", optional),
		HeartbeatMs:     top.within("heartbeatMs", maxMs),
		EnabledRules:    top.texts("ruleParts"),
		FaultTolerance:  readFaultTolerance(top.inner("survive")),
		Bounds:          readBounds(top.inner("bounds")),
		CloudAPI:        readCloudAPI(top.inner("cloudApi"), discovery),
	}
}

func readZones(top section) map[string]string {
	zones, _ := value[map[string]string](top, "zones", optional, "mapping of zones to regions")
	return zones
}

// readListenOn reads the addresses. Which of them are required depends on what the role serves.
func readListenOn(s section, serves []string) ListenOn {
	edge := presence(slices.Contains(serves, ServesEdge))
	control := presence(slices.Contains(serves, ServesControl))
	return ListenOn{
		FrontHTTP: s.address("frontHttp", edge),
		Readiness: s.address("readiness", edge),
		Control:   s.address("control", control),
	}
}

func readPortRange(top section) PortRange {
	const key = "portRange"
	ports, ok := value[[]int](top, key, required, "list of two ports")
	if !ok {
		return PortRange{}
	}
	if len(ports) != 2 {
		top.fail(key, "has %d ports instead of the first and the last", len(ports))
		return PortRange{}
	}
	first, last := ports[0], ports[1]
	if first < 1 || last > maxPort || first > last {
		top.fail(key, "%d to %d is no range of ports", first, last)
		return PortRange{}
	}
	return PortRange{First: first, Last: last}
}

func readLimits(s section) Limits {
	return Limits{
		CPUShare:    s.number("cpuShare"),
		CPUCores:    s.number("cpuCores"),
		MemoryMb:    s.integer("memoryMb", maxQuantity),
		OpenFiles:   s.integer("openFiles", maxQuantity),
		NetworkMbps: s.number("networkMbps"),
		DiskMb:      s.integer("diskMb", maxQuantity),
	}
}

func readFaultTolerance(s section) FaultTolerance {
	return FaultTolerance{
		Machines: int(s.integer("machines", maxCount)),
		Zones:    int(s.integer("zones", maxCount)),
		Regions:  int(s.integer("regions", maxCount)),
	}
}

func readCloudAPI(s section, discovery string) CloudAPI {
	return CloudAPI{
		Address:  s.address("address", presence(discovery == discoveryCloudAPI)),
		RatePerS: s.number("ratePerS"),
		Jobs:     s.texts("jobs"),
		DelayMs:  s.within("delayMs", maxMs),
	}
}

// readBounds reads the bounds. A known bound with an invalid value is an error; an unknown bound is kept if it is a number.
func readBounds(s section) Bounds {
	bounds := Bounds{}
	keys := make([]string, 0, len(s.fields))
	for key := range s.fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		bound, ok := s.bound(key)
		if ok {
			bounds[key] = bound
		}
	}
	return bounds
}

// bound reads a bound: a number, or true as 1 and false as 0.
func (s section) bound(key string) (float64, bool) {
	node, given := s.lookup(key, optional)
	if !given {
		return 0, false
	}
	spec, known := boundSpecs[key]
	bound, ok := decodeBound(node)
	if !known {
		return bound, ok
	}
	if !ok {
		s.fail(key, "line %d: is no number", node.Line)
		return 0, false
	}
	if !isWithin(bound, spec.max) {
		s.fail(key, outOfRange, bound, spec.max)
		return 0, false
	}
	return bound, true
}

// decodeBound decodes a number or a boolean.
func decodeBound(node *yaml.Node) (float64, bool) {
	var flag bool
	if node.Decode(&flag) == nil {
		if flag {
			return 1, true
		}
		return 0, true
	}
	var number float64
	if node.Decode(&number) != nil || math.IsNaN(number) {
		return 0, false
	}
	return number, true
}
