package fleettest

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a kind of trouble in a plan.
type FaultKind string

// The kinds of fault. Those that last end after Fault.For.
const (
	KillFault        FaultKind = "kill"       // comes back after For
	PowerFault       FaultKind = "power"      // the same, without what was not synced
	KillAllFault     FaultKind = "kill_all"   // of the tier; each comes back within For
	PowerAllFault    FaultKind = "power_all"  // the same
	AckKillFault     FaultKind = "ack_kill"   // the owner of the configuration ends right after its next acknowledgement
	AckPowerFault    FaultKind = "ack_power"  // the same without power
	DiskFault        FaultKind = "disk"       // comes back empty after For
	FinalFault       FaultKind = "final"      // loses its disk while all others that count lose power
	AckFinalFault    FaultKind = "ack_final"  // the same right after the next acknowledgement
	FreezeFault      FaultKind = "freeze"     // for For
	CutFault         FaultKind = "cut"        // from all machines of its role and all edges, for For
	CutOneWayFault   FaultKind = "cut_oneway" // what it sends to Other, for For
	ResetFault       FaultKind = "reset"      // its connections with Other
	ClockFault       FaultKind = "clock"      // its time of day steps by For
	SlowDiskFault    FaultKind = "slow_disk"  // for For
	SilentDiskFault  FaultKind = "silent_disk"
	FullDiskFault    FaultKind = "full_disk"
	ReplaceFault     FaultKind = "replace"     // by an empty machine at another address
	ProxyFault       FaultKind = "proxy"       // its proxy is killed
	AgentFault       FaultKind = "agent"       // its agent is killed
	EndpointFault    FaultKind = "endpoint"    // is replaced at its address, by one of the other service and back after For
	AckLostFault     FaultKind = "ack_lost"    // answers to operators are lost for For
	ResendElseFault  FaultKind = "config_race" // both operators send on the newest version
	StuckEngineFault FaultKind = "answer_lost" // an endpoint runs and says nothing for For
)

// Fault is one trouble of a plan. Machines are numbered among the counting ones (cores, then stores), edges or endpoints.
type Fault struct {
	At     time.Duration `json:"at"`
	Kind   FaultKind     `json:"kind"`
	Target int           `json:"target,omitempty"`
	Other  int           `json:"other,omitempty"`
	For    time.Duration `json:"for,omitempty"`
}

// Plan is one day: its seed and its troubles, in order.
type Plan struct {
	Seed   uint64        `json:"seed"`
	Span   time.Duration `json:"span"` // of the troubles; the day goes on until all has come back
	Faults []Fault       `json:"faults"`
}

// Text is the plan as it is kept.
func (p Plan) Text() string {
	text, err := json.Marshal(p)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// What a random plan holds.
const (
	countingMachines = 7
	edgeMachines     = 3
	engineMachines   = 6
	planSpan         = 40 * time.Second
	catchUp          = 4300 * time.Millisecond // for which a machine that is back still counts as lost
	firstFault       = 8 * time.Second         // so that the first start is over
)

// faultChoices are the kinds of fault of a random plan; those named twice come twice as often.
var faultChoices = []FaultKind{KillFault, KillFault, PowerFault, PowerFault, KillAllFault, PowerAllFault, AckKillFault, AckPowerFault,
	DiskFault, DiskFault, FinalFault, AckFinalFault, FreezeFault, FreezeFault, CutFault, CutFault, CutOneWayFault, CutOneWayFault, ResetFault, ClockFault,
	SlowDiskFault, SilentDiskFault, FullDiskFault, ReplaceFault, ProxyFault, ProxyFault, AgentFault, EndpointFault, AckLostFault,
	ResendElseFault, ResendElseFault, StuckEngineFault}

// RandomPlan draws a plan. Disks are lost one at a time only, and not before all machines have made up for what came before.
func RandomPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 0x706c616e))
	plan := Plan{Seed: seed, Span: planSpan}
	pause := time.Duration(300+random.IntN(4000)) * time.Millisecond // some days are dense, some are not
	var wholeAt time.Duration                                        // when all counting machines have made up for all troubles
	for at := firstFault; at < plan.Span; at += time.Duration(random.Int64N(int64(2 * pause))) {
		fault := Fault{At: at, Kind: faultChoices[random.IntN(len(faultChoices))], For: time.Duration(random.Int64N(int64(6 * time.Second)))}
		fault.Target, fault.Other = random.IntN(countingMachines), random.IntN(countingMachines)
		if fault.Kind.losesDisk() && at < wholeAt {
			continue
		}
		if fault.Kind == ClockFault {
			fault.For -= 3 * time.Second
		}
		if until := at + fault.lostFor(); fault.Kind.concernsCounting() {
			wholeAt = max(wholeAt, until)
		}
		plan.Faults = append(plan.Faults, fault)
	}
	return plan
}

// replacementTime is how long it takes at most until groups have moved away from a machine that is gone for good.
const replacementTime = 14 * time.Second

// lostFor is how long a machine counts as lost from the beginning of a fault on.
func (f Fault) lostFor() time.Duration {
	switch f.Kind {
	case ReplaceFault:
		return replacementTime
	case AckKillFault, AckPowerFault, AckFinalFault: // they wait for an acknowledgement
		return f.For + ackWait + catchUp
	}
	return max(f.For, time.Second) + catchUp
}

// losesDisk tells whether a fault takes a disk away for good.
func (k FaultKind) losesDisk() bool {
	return slices.Contains([]FaultKind{DiskFault, FinalFault, AckFinalFault, ReplaceFault}, k)
}

// concernsCounting tells whether a fault concerns machines with a disk.
func (k FaultKind) concernsCounting() bool {
	return !slices.Contains([]FaultKind{ProxyFault, AgentFault, EndpointFault, AckLostFault, ResendElseFault, StuckEngineFault}, k)
}
