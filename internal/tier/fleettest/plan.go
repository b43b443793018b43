package fleettest

import (
	"math/rand/v2"
	"time"

	"mastusher/internal/tier/faultplan"
)

// FaultKind names a kind of fault in a plan.
type FaultKind string

// The kinds of fault; their values stand in printed plans. Those that last end after Fault.For.
const (
	KillFault                    FaultKind = "kill"       // comes back after For
	PowerLossFault               FaultKind = "power"      // the same, without what was not synced
	KillAllFault                 FaultKind = "kill_all"   // of the tier; each comes back within For
	PowerLossAllFault            FaultKind = "power_all"  // the same
	AckKillFault                 FaultKind = "ack_kill"   // the leader of the configuration ends right after its next acknowledgement
	AckPowerLossFault            FaultKind = "ack_power"  // the same without power
	DiskLossFault                FaultKind = "disk"       // comes back empty after For
	DiskLossPowerLossAllFault    FaultKind = "final"      // loses its disk while all others that count lose power
	AckDiskLossPowerLossAllFault FaultKind = "ack_final"  // the same right after the next acknowledgement
	FreezeFault                  FaultKind = "freeze"     // for For
	PartitionFault               FaultKind = "cut"        // from all machines of its role and all edges, for For
	PartitionOneWayFault         FaultKind = "cut_oneway" // what it sends to Other, for For
	ResetFault                   FaultKind = "reset"      // its connections with Other
	ClockStepFault               FaultKind = "clock"      // its time of day steps by For
	SlowDiskFault                FaultKind = "slow_disk"  // for For
	StalledDiskFault             FaultKind = "silent_disk"
	FullDiskFault                FaultKind = "full_disk"
	ReplaceFault                 FaultKind = "replace"     // by an empty machine at another address
	ProxyKillFault               FaultKind = "proxy"       // its proxy is killed
	AgentKillFault               FaultKind = "agent"       // its agent is killed
	EndpointReplaceFault         FaultKind = "endpoint"    // is replaced at its address, by one of the other service and back after For
	AckLossFault                 FaultKind = "ack_lost"    // answers to operators are lost for For
	OrderRaceFault               FaultKind = "config_race" // both operators send on the newest version
	ResponseLossFault            FaultKind = "answer_lost" // an endpoint runs requests and answers none for For
)

// Fault is one fault of a plan. Machines are numbered among the quorum machines (cores, then stores), edges or endpoints.
type Fault = faultplan.Fault[FaultKind]

// Plan is one day: its seed and its faults, by time.
type Plan struct {
	Seed   uint64        `json:"seed"`
	Span   time.Duration `json:"span"` // of the faults; the day lasts until the checks after them
	Faults []Fault       `json:"faults"`
}

// Text is the plan as JSON, to run it again.
func (p Plan) Text() string { return faultplan.Text(p) }

// Shrink leaves faults out of a plan, and makes them shorter, as long as it fails. It runs at most maxRuns days.
func Shrink(plan Plan, maxRuns int, fails func(Plan) bool) Plan {
	return faultplan.Shrink(plan, func(p *Plan) *[]Fault { return &p.Faults }, maxRuns, fails)
}

// Bounds of a random plan.
const (
	quorumMachineCount = 7
	edgeMachineCount   = 3
	engineMachineCount = 6
	planSpan           = 40 * time.Second
	catchUp            = 4300 * time.Millisecond // for which a machine that is back still counts as lost
	firstFaultAt       = 8 * time.Second         // so that the first start is over
)

// faultKinds are the kinds of fault of a random plan.
var faultKinds = faultplan.Kinds[FaultKind]{
	{Name: KillFault, Weight: 2},
	{Name: PowerLossFault, Weight: 2},
	{Name: KillAllFault, Weight: 1},
	{Name: PowerLossAllFault, Weight: 1},
	{Name: AckKillFault, Weight: 1},
	{Name: AckPowerLossFault, Weight: 1},
	{Name: DiskLossFault, Weight: 2, LosesDisk: true},
	{Name: DiskLossPowerLossAllFault, Weight: 1, LosesDisk: true},
	{Name: AckDiskLossPowerLossAllFault, Weight: 1, LosesDisk: true},
	{Name: FreezeFault, Weight: 2},
	{Name: PartitionFault, Weight: 2},
	{Name: PartitionOneWayFault, Weight: 2},
	{Name: ResetFault, Weight: 1},
	{Name: ClockStepFault, Weight: 1},
	{Name: SlowDiskFault, Weight: 1},
	{Name: StalledDiskFault, Weight: 1},
	{Name: FullDiskFault, Weight: 1},
	{Name: ReplaceFault, Weight: 1, LosesDisk: true},
	{Name: ProxyKillFault, Weight: 2, SparesQuorum: true},
	{Name: AgentKillFault, Weight: 1, SparesQuorum: true},
	{Name: EndpointReplaceFault, Weight: 1, SparesQuorum: true},
	{Name: AckLossFault, Weight: 1, SparesQuorum: true},
	{Name: OrderRaceFault, Weight: 2, SparesQuorum: true},
	{Name: ResponseLossFault, Weight: 1, SparesQuorum: true},
}

// RandomPlan draws a plan. Disks are lost one at a time only, and not before all machines have recovered from what came before.
func RandomPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 0x706c616e))
	plan := Plan{Seed: seed, Span: planSpan}
	maxGap := time.Duration(300+random.IntN(4000)) * time.Millisecond // some days are dense, some are not
	var recoveredAt time.Duration                                     // when all quorum machines have recovered from all faults
	for at := firstFaultAt; at < plan.Span; at += time.Duration(random.Int64N(int64(2 * maxGap))) {
		kind := faultKinds.Draw(random)
		fault := Fault{At: at, Kind: kind.Name, For: time.Duration(random.Int64N(int64(6 * time.Second)))}
		fault.Target, fault.Other = random.IntN(quorumMachineCount), random.IntN(quorumMachineCount)
		if kind.LosesDisk && at < recoveredAt {
			continue
		}
		if fault.Kind == ClockStepFault {
			fault.For -= 3 * time.Second
		}
		if !kind.SparesQuorum {
			recoveredAt = max(recoveredAt, at+unavailableFor(fault))
		}
		plan.Faults = append(plan.Faults, fault)
	}
	return plan
}

// replacementTime is how long it takes at most until groups have moved away from a machine that is lost for good.
const replacementTime = 14 * time.Second

// unavailableFor is how long a machine counts as lost from the beginning of a fault on.
func unavailableFor(f Fault) time.Duration {
	switch f.Kind {
	case ReplaceFault:
		return replacementTime
	case AckKillFault, AckPowerLossFault, AckDiskLossPowerLossAllFault: // they wait for an acknowledgement
		return f.For + ackTimeout + catchUp
	}
	return max(f.For, time.Second) + catchUp
}
