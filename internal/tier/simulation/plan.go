package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/tier/faultplan"
)

// FaultKind names a kind of fault in a plan.
type FaultKind string

// The kinds of fault; printed plans contain their values. Lasting faults end after Fault.For. Target is the index of a quorum machine
// (cores, then stores), or of an edge or endpoint where the comment names these.
const (
	KillFault              FaultKind = "kill"            // the processes are killed, and start after For
	PowerLossFault         FaultKind = "power"           // like KillFault, and writes that were not synced are lost
	KillAllFault           FaultKind = "herd_kill"       // kills all quorum machines; each starts within For
	PowerLossAllFault      FaultKind = "herd_power"      // like KillAllFault, with a loss of power
	TermFault              FaultKind = "term"            // SIGTERM, and a start once it has ended
	HangUpFault            FaultKind = "hup"             // SIGHUP
	FreezeFault            FaultKind = "freeze"          // the machine freezes
	PartitionFault         FaultKind = "cut"             // the machine is partitioned from all machines
	PartitionQuorumFault   FaultKind = "cut_core"        // the machine is partitioned from the other quorum machines
	PartitionOutboundFault FaultKind = "cut_out"         // what it sends is lost
	PartitionInboundFault  FaultKind = "cut_in"          // what is sent to it is lost
	RefuseFault            FaultKind = "cut_reset"       // its connections with the other quorum machines are reset, and new ones refused
	PartitionZoneFault     FaultKind = "cut_zone"        // its zone is partitioned from the others
	ResetFault             FaultKind = "reset"           // its connections with Other are reset once
	SlowLinkFault          FaultKind = "slow_link"       // messages to the other quorum machines are delayed
	ClockStepFault         FaultKind = "clock"           // its time of day steps by For minus 3 s
	SlowDiskFault          FaultKind = "disk_slow"       // syncs take long
	StalledDiskFault       FaultKind = "disk_stall"      // the disk doesn't answer
	FullDiskFault          FaultKind = "disk_full"       // the disk takes no more bytes
	DiskLossFault          FaultKind = "disk_lost"       // the machine loses power, and starts with an empty disk after For
	AckKillFault           FaultKind = "ack_kill"        // the controller that acknowledges the next order is killed within 4 ms
	AckPowerLossFault      FaultKind = "ack_power"       // like AckKillFault, with a loss of power
	AckDiskLossFault       FaultKind = "ack_wipe"        // like AckKillFault, with a loss of the disk
	AckPowerLossAllFault   FaultKind = "ack_herd"        // all quorum machines lose power right after the next acknowledgement
	ReplaceFault           FaultKind = "replace"         // the machine is lost; an empty one starts at another address after For
	PlannedReplaceFault    FaultKind = "replace_planned" // an empty machine starts first; the old one gets SIGTERM after For
	ProxyKillFault         FaultKind = "proxy_kill"      // the proxy of an edge is killed
	AgentKillFault         FaultKind = "agent_kill"      // the agent of an edge is killed
	EdgePartitionFault     FaultKind = "edge_cut"        // an edge is partitioned from all quorum machines
	EdgeTermFault          FaultKind = "edge_term"       // SIGTERM of an edge, and a start once it has ended
	EndpointPartitionFault FaultKind = "endpoint_cut"    // an endpoint is partitioned from all edges
	EndpointResetFault     FaultKind = "endpoint_reset"  // connections of an endpoint are reset
	ResponseLossFault      FaultKind = "answer_lost"     // endpoints run some requests and close without an answer
	ResponseTruncatedFault FaultKind = "answer_cut"      // endpoints truncate some answers
	EndpointErrorFault     FaultKind = "endpoint_errors" // endpoints answer some requests with 500
	EndpointOverloadFault  FaultKind = "endpoint_full"   // endpoints reject some requests as overloaded
	EndpointUnreadFault    FaultKind = "endpoint_unread" // endpoints close without reading some requests
	PlatformDownFault      FaultKind = "platform_down"   // the platform's list answers 503
	AckLossFault           FaultKind = "ack_lost"        // most answers to the operators are lost
	OrderRaceFault         FaultKind = "config_race"     // two operators send orders on the same version, under the same or different numbers
	InvalidOrderFault      FaultKind = "bad_config"      // invalid orders are sent
	DuplicateOrderFault    FaultKind = "repeat"          // a duplicate of an earlier order is sent
)

// Fault is one injected fault of a plan.
type Fault = faultplan.Fault[FaultKind]

// Plan is the plan of one day: its seed and its faults, sorted by time.
type Plan struct {
	Seed   uint64  `json:"seed"`
	Large  bool    `json:"large,omitempty"` // five controllers, six stores and three edges in place of three, four and two
	Faults []Fault `json:"faults"`
}

// Text returns the plan as JSON, from which it can be run again.
func (p Plan) Text() string { return faultplan.Text(p) }

// Bounds of a random plan.
const (
	DayLength    = 40 * time.Second // of traffic
	minFaults    = 3
	maxFaults    = 6
	lastFaultAt  = 34 * time.Second
	maxFaultTime = 6 * time.Second
	firstFaultAt = time.Second
)

// faultKinds are the kinds of fault of a random plan.
var faultKinds = faultplan.Kinds[FaultKind]{
	{Name: KillFault, Weight: 2},
	{Name: PowerLossFault, Weight: 2},
	{Name: KillAllFault, Weight: 1},
	{Name: PowerLossAllFault, Weight: 1},
	{Name: TermFault, Weight: 1},
	{Name: HangUpFault, Weight: 1, SparesQuorum: true},
	{Name: FreezeFault, Weight: 2},
	{Name: PartitionFault, Weight: 2},
	{Name: PartitionQuorumFault, Weight: 2},
	{Name: PartitionOutboundFault, Weight: 1},
	{Name: PartitionInboundFault, Weight: 1},
	{Name: RefuseFault, Weight: 1},
	{Name: PartitionZoneFault, Weight: 1},
	{Name: ResetFault, Weight: 1},
	{Name: SlowLinkFault, Weight: 1},
	{Name: ClockStepFault, Weight: 1, SparesQuorum: true},
	{Name: SlowDiskFault, Weight: 1},
	{Name: StalledDiskFault, Weight: 1},
	{Name: FullDiskFault, Weight: 1},
	{Name: DiskLossFault, Weight: 2, LosesDisk: true},
	{Name: AckKillFault, Weight: 1},
	{Name: AckPowerLossFault, Weight: 1},
	{Name: AckDiskLossFault, Weight: 1, LosesDisk: true},
	{Name: AckPowerLossAllFault, Weight: 1},
	{Name: ReplaceFault, Weight: 1, LosesDisk: true},
	{Name: PlannedReplaceFault, Weight: 1, LosesDisk: true},
	{Name: ProxyKillFault, Weight: 1, SparesQuorum: true},
	{Name: AgentKillFault, Weight: 1, SparesQuorum: true},
	{Name: EdgePartitionFault, Weight: 1, SparesQuorum: true},
	{Name: EdgeTermFault, Weight: 1, SparesQuorum: true},
	{Name: EndpointPartitionFault, Weight: 1, SparesQuorum: true},
	{Name: EndpointResetFault, Weight: 1, SparesQuorum: true},
	{Name: ResponseLossFault, Weight: 1, SparesQuorum: true},
	{Name: ResponseTruncatedFault, Weight: 1, SparesQuorum: true},
	{Name: EndpointErrorFault, Weight: 1, SparesQuorum: true},
	{Name: EndpointOverloadFault, Weight: 1, SparesQuorum: true},
	{Name: EndpointUnreadFault, Weight: 1, SparesQuorum: true},
	{Name: PlatformDownFault, Weight: 1, SparesQuorum: true},
	{Name: AckLossFault, Weight: 1, SparesQuorum: true},
	{Name: OrderRaceFault, Weight: 2, SparesQuorum: true},
	{Name: InvalidOrderFault, Weight: 1, SparesQuorum: true},
	{Name: DuplicateOrderFault, Weight: 2, SparesQuorum: true},
}

// RandomPlan returns the plan of a seed. Faults may overlap, but a disk is lost only once all machines have recovered from the faults
// before it.
func RandomPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 0x706c616e))
	plan := Plan{Seed: seed, Large: random.IntN(8) == 0}
	count := minFaults + random.IntN(maxFaults-minFaults+1)
	times := make([]time.Duration, count)
	for i := range times {
		times[i] = firstFaultAt + time.Duration(random.Int64N(int64(lastFaultAt-firstFaultAt)))
	}
	slices.Sort(times)
	var recoveredAt time.Duration // when all quorum machines have recovered from all faults
	for _, at := range times {
		kind := faultKinds.Draw(random)
		fault := Fault{At: at.Round(time.Millisecond), Kind: kind.Name, Target: random.IntN(1 << 10), Other: random.IntN(1 << 10),
			For: time.Duration(random.Int64N(int64(maxFaultTime))).Round(time.Millisecond)}
		if kind.LosesDisk && fault.At < recoveredAt {
			fault.Kind = KillFault
		}
		if !kind.SparesQuorum {
			recoveredAt = max(recoveredAt, fault.At+unavailableFor(fault))
		}
		plan.Faults = append(plan.Faults, fault)
	}
	return plan
}

// unavailableFor returns how long a machine counts as lost, from the start of a fault.
func unavailableFor(f Fault) time.Duration {
	switch f.Kind {
	case AckKillFault, AckPowerLossFault, AckDiskLossFault, AckPowerLossAllFault: // these wait for an acknowledgement
		return ackTimeout + f.For + catchUpTime
	case TermFault, PlannedReplaceFault:
		return gracePeriod + f.For + catchUpTime
	}
	return max(f.For, time.Second) + catchUpTime
}

// Shrink removes and shortens faults of a failing plan as long as it still fails. It runs at most maxRuns days.
func Shrink(plan Plan, maxRuns int, fails func(Plan) bool) Plan {
	return faultplan.Shrink(plan, func(p *Plan) *[]Fault { return &p.Faults }, maxRuns, fails)
}
