package fleettest

import (
	"math/rand/v2"
	"time"

	"mastusher/internal/tier/faultplan"
)

// FaultKind names a kind of fault in a plan.
type FaultKind string

// The kinds of fault; printed plans contain their values. Lasting faults end after Fault.For. Target is the index of a quorum machine
// (cores, then stores), or of an edge or endpoint where the comment names these.
const (
	KillFault                    FaultKind = "kill"        // the processes are killed, and start after For
	PowerLossFault               FaultKind = "power"       // like KillFault, and writes that were not synced are lost
	KillAllFault                 FaultKind = "kill_all"    // kills all machines of the tier; each starts within For
	PowerLossAllFault            FaultKind = "power_all"   // like KillAllFault, with a loss of power
	AckKillFault                 FaultKind = "ack_kill"    // the leader of the core is killed right after its next acknowledgement
	AckPowerLossFault            FaultKind = "ack_power"   // like AckKillFault, with a loss of power
	DiskLossFault                FaultKind = "disk"        // the machine loses power, and starts with an empty disk after For
	DiskLossPowerLossAllFault    FaultKind = "final"       // the machine loses its disk while all other quorum machines lose power
	AckDiskLossPowerLossAllFault FaultKind = "ack_final"   // like DiskLossPowerLossAllFault, right after the next acknowledgement
	FreezeFault                  FaultKind = "freeze"      // the machine freezes
	PartitionFault               FaultKind = "cut"         // partitioned from the quorum machines, and from the edges if Other is odd
	PartitionOneWayFault         FaultKind = "cut_oneway"  // messages to Other are lost
	ResetFault                   FaultKind = "reset"       // its connections with Other are reset once
	ClockStepFault               FaultKind = "clock"       // its time of day steps by For
	SlowDiskFault                FaultKind = "slow_disk"   // syncs take long
	StalledDiskFault             FaultKind = "silent_disk" // syncs don't complete
	FullDiskFault                FaultKind = "full_disk"   // the disk has no room for more than a few bytes
	ReplaceFault                 FaultKind = "replace"     // the machine is lost; an empty one starts at another address
	ProxyKillFault               FaultKind = "proxy"       // the proxy of an edge is killed
	AgentKillFault               FaultKind = "agent"       // the agent of an edge is killed
	EndpointReplaceFault         FaultKind = "endpoint"    // an endpoint is replaced at its address by one of the other service, for For
	AckLossFault                 FaultKind = "ack_lost"    // most answers to the first operator are lost
	OrderRaceFault               FaultKind = "config_race" // the second operator sends an order too, on the newest version
	ResponseLossFault            FaultKind = "answer_lost" // an endpoint runs requests, but doesn't answer
)

// Fault is one fault of a plan.
type Fault = faultplan.Fault[FaultKind]

// Plan is the plan of one day: its seed and its faults, sorted by time.
type Plan struct {
	Seed   uint64        `json:"seed"`
	Span   time.Duration `json:"span"` // from the start of the day to its last fault
	Faults []Fault       `json:"faults"`
}

// Text returns the plan as JSON, from which it can be run again.
func (p Plan) Text() string { return faultplan.Text(p) }

// Shrink removes and shortens faults of a failing plan as long as it still fails. It runs at most maxRuns days.
func Shrink(plan Plan, maxRuns int, fails func(Plan) bool) Plan {
	return faultplan.Shrink(plan, func(p *Plan) *[]Fault { return &p.Faults }, maxRuns, fails)
}

// Bounds of a random plan.
const (
	quorumMachineCount   = 7
	edgeMachineCount     = 3
	endpointMachineCount = 6
	planSpan             = 40 * time.Second
	catchUpTime          = 4300 * time.Millisecond // how long a machine that is back still counts as lost
	firstFaultAt         = 8 * time.Second         // by then, the fleet has started
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

// RandomPlan returns the plan of a seed. Faults may overlap, but a disk is lost only once all machines have recovered from the faults
// before it.
func RandomPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 0x706c616e))
	plan := Plan{Seed: seed, Span: planSpan}
	averageGap := time.Duration(300+random.IntN(4000)) * time.Millisecond // drawn for each plan, so that some days have many faults
	var recoveredAt time.Duration                                         // when all quorum machines have recovered from all faults
	for at := firstFaultAt; at < plan.Span; at += time.Duration(random.Int64N(int64(2 * averageGap))) {
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

// replacementTime bounds the time until all groups have replaced the replicas of a machine that is lost for good.
const replacementTime = 14 * time.Second

// unavailableFor returns how long a machine counts as lost, from the start of a fault.
func unavailableFor(f Fault) time.Duration {
	switch f.Kind {
	case ReplaceFault:
		return replacementTime
	case AckKillFault, AckPowerLossFault, AckDiskLossPowerLossAllFault: // these wait for an acknowledgement
		return f.For + ackTimeout + catchUpTime
	}
	return max(f.For, time.Second) + catchUpTime
}
