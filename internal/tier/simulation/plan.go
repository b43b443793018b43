package simulation

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a kind of trouble in a plan.
type FaultKind string

// The kinds of fault. Those that last end after Fault.For. Target is a machine's number among the counting ones (cores, then
// stores), or among the edges or endpoints where the kind names these.
const (
	KillFault           FaultKind = "kill"            // comes back after For
	PowerFault          FaultKind = "power"           // the same, without what was not synced
	HerdKillFault       FaultKind = "herd_kill"       // of all counting machines; each comes back within For
	HerdPowerFault      FaultKind = "herd_power"      // the same
	TermFault           FaultKind = "term"            // SIGTERM, and a start once it has ended
	HangUpFault         FaultKind = "hup"             // SIGHUP
	FreezeFault         FaultKind = "freeze"          // the machine stands still
	CutFault            FaultKind = "cut"             // from all machines
	CutCoreFault        FaultKind = "cut_core"        // from the other counting machines
	CutOutFault         FaultKind = "cut_out"         // what it sends is lost
	CutInFault          FaultKind = "cut_in"          // what is sent to it is lost
	CutResetFault       FaultKind = "cut_reset"       // from the other counting machines, which resets connections and refuses new ones
	CutZoneFault        FaultKind = "cut_zone"        // from all machines of other zones
	ResetFault          FaultKind = "reset"           // its connections with Other
	SlowLinkFault       FaultKind = "slow_link"       // what it sends takes long
	ClockFault          FaultKind = "clock"           // its time of day steps by For less 3 s
	SlowDiskFault       FaultKind = "disk_slow"       // syncs take long
	StalledDiskFault    FaultKind = "disk_stall"      // the disk doesn't answer
	FullDiskFault       FaultKind = "disk_full"       // the disk takes no more bytes
	DiskFault           FaultKind = "disk_lost"       // comes back empty after For
	AckKillFault        FaultKind = "ack_kill"        // who acknowledges the next order is killed within 4 ms
	AckPowerFault       FaultKind = "ack_power"       // the same without power
	AckWipeFault        FaultKind = "ack_wipe"        // the same with an empty disk
	AckHerdFault        FaultKind = "ack_herd"        // all counting machines lose power right after the next acknowledgement
	ReplaceFault        FaultKind = "replace"         // by an empty machine at another address, which comes after For
	ReplacePlannedFault FaultKind = "replace_planned" // the new one first, then SIGTERM
	ProxyFault          FaultKind = "proxy_kill"      // of an edge
	AgentFault          FaultKind = "agent_kill"      // of an edge
	EdgeCutFault        FaultKind = "edge_cut"        // an edge from all counting machines
	EdgeTermFault       FaultKind = "edge_term"       // SIGTERM of an edge, and a start once it has ended
	EndpointCutFault    FaultKind = "endpoint_cut"    // an endpoint from all edges
	EndpointResetFault  FaultKind = "endpoint_reset"  // connections of an endpoint are reset
	AnswerLostFault     FaultKind = "answer_lost"     // endpoints run some requests and close without an answer
	AnswerCutFault      FaultKind = "answer_cut"      // endpoints break off some answers
	EndpointErrorFault  FaultKind = "endpoint_errors" // endpoints answer some requests with 500
	EndpointFullFault   FaultKind = "endpoint_full"   // endpoints refuse some requests
	UnreadFault         FaultKind = "endpoint_unread" // endpoints close without reading some requests
	PlatformFault       FaultKind = "platform_down"   // the list answers 503
	AckLostFault        FaultKind = "ack_lost"        // most answers to the operators are lost
	RaceFault           FaultKind = "config_race"     // two operators order on the same version, under the same number or another
	BadConfigFault      FaultKind = "bad_config"      // an invalid order
	RepeatFault         FaultKind = "repeat"          // an earlier order comes once more
)

// Fault is one trouble of a plan.
type Fault struct {
	At     time.Duration `json:"at"` // from the start of traffic
	Kind   FaultKind     `json:"kind"`
	Target int           `json:"target,omitempty"`
	Other  int           `json:"other,omitempty"`
	For    time.Duration `json:"for,omitempty"`
}

// Plan is one day: its seed and its troubles, in order.
type Plan struct {
	Seed   uint64  `json:"seed"`
	Large  bool    `json:"large,omitempty"` // five controllers, six stores and three edges in place of three, four and two
	Faults []Fault `json:"faults"`
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
	Day         = 40 * time.Second // of traffic
	fewestFault = 3
	mostFaults  = 6
	lastFault   = 34 * time.Second
	longest     = 6 * time.Second
	noneBefore  = time.Second
)

// kinds are the kinds of a random plan; those named twice come twice as often.
var kinds = []FaultKind{KillFault, KillFault, PowerFault, PowerFault, HerdKillFault, HerdPowerFault, TermFault, HangUpFault, FreezeFault, FreezeFault,
	CutFault, CutFault, CutCoreFault, CutCoreFault, CutOutFault, CutInFault, CutResetFault, CutZoneFault, ResetFault, SlowLinkFault, ClockFault,
	SlowDiskFault, StalledDiskFault, FullDiskFault, DiskFault, DiskFault, AckKillFault, AckPowerFault, AckWipeFault, AckHerdFault, ReplaceFault,
	ReplacePlannedFault, ProxyFault, AgentFault, EdgeCutFault, EdgeTermFault, EndpointCutFault, EndpointResetFault, AnswerLostFault, AnswerCutFault,
	EndpointErrorFault, EndpointFullFault, UnreadFault, PlatformFault, AckLostFault, RaceFault, RaceFault, BadConfigFault, RepeatFault, RepeatFault}

// RandomPlan draws a plan. Faults may meet; disks only are lost one at a time, and not before all machines have made up for
// what came before.
func RandomPlan(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 0x706c616e))
	plan := Plan{Seed: seed, Large: random.IntN(8) == 0}
	count := fewestFault + random.IntN(mostFaults-fewestFault+1)
	times := make([]time.Duration, count)
	for i := range times {
		times[i] = noneBefore + time.Duration(random.Int64N(int64(lastFault-noneBefore)))
	}
	slices.Sort(times)
	var wholeAt time.Duration // when all counting machines have made up for all troubles
	for _, at := range times {
		fault := Fault{At: at.Round(time.Millisecond), Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 10), Other: random.IntN(1 << 10),
			For: time.Duration(random.Int64N(int64(longest))).Round(time.Millisecond)}
		if fault.Kind.losesDisk() && fault.At < wholeAt {
			fault.Kind = KillFault
		}
		if fault.Kind.concernsCounting() {
			wholeAt = max(wholeAt, fault.At+fault.lostFor())
		}
		plan.Faults = append(plan.Faults, fault)
	}
	return plan
}

// lostFor is how long a machine counts as lost from the beginning of a fault on.
func (f Fault) lostFor() time.Duration {
	if slices.Contains([]FaultKind{AckKillFault, AckPowerFault, AckWipeFault, AckHerdFault}, f.Kind) { // they wait for an acknowledgement
		return ackWait + f.For + catchUp
	}
	if f.Kind == TermFault || f.Kind == ReplacePlannedFault {
		return grace + f.For + catchUp
	}
	return max(f.For, time.Second) + catchUp
}

// losesDisk tells whether a fault takes a disk away for good.
func (k FaultKind) losesDisk() bool {
	return slices.Contains([]FaultKind{DiskFault, AckWipeFault, ReplaceFault, ReplacePlannedFault}, k)
}

// concernsCounting tells whether a fault concerns machines with a disk.
func (k FaultKind) concernsCounting() bool {
	return !slices.Contains([]FaultKind{HangUpFault, ClockFault, ProxyFault, AgentFault, EdgeCutFault, EdgeTermFault, EndpointCutFault,
		EndpointResetFault, AnswerLostFault, AnswerCutFault, EndpointErrorFault, EndpointFullFault, UnreadFault, PlatformFault, AckLostFault, RaceFault,
		BadConfigFault, RepeatFault}, k)
}

// Shrink leaves faults out of a plan, and makes them shorter, as long as it fails. It plays at most so many days.
func Shrink(plan Plan, days int, fails func(Plan) bool) Plan {
	try := func(faults []Fault) bool {
		if days == 0 {
			return false
		}
		days--
		smaller := plan
		smaller.Faults = faults
		if !fails(smaller) {
			return false
		}
		plan = smaller
		return true
	}
	for i := 0; i < len(plan.Faults); {
		if !try(slices.Delete(slices.Clone(plan.Faults), i, i+1)) {
			i++
		}
	}
	for i := range plan.Faults {
		shorter := slices.Clone(plan.Faults)
		shorter[i].For = (shorter[i].For / 2).Truncate(time.Millisecond)
		try(shorter)
	}
	return plan
}
