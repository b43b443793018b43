package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/tier/faultplan"
)

// FaultKind is a kind of fault, by its name in printed plans.
type FaultKind string

// The kinds. A fault that lasts ends after its For. Target is the number of a process or, for partitions, of a machine, modulo
// how many there are.
const (
	KillOne         FaultKind = "kill"             // one process
	KillSome        FaultKind = "kill_some"        // two to four processes
	KillStores      FaultKind = "kill_stores"      // all stores
	KillControllers FaultKind = "kill_controllers" // all controllers
	KillAll         FaultKind = "kill_all"         // all processes
	PauseOne        FaultKind = "pause"            // SIGSTOP, then SIGCONT
	PauseSome       FaultKind = "pause_some"       // two to four processes
	Terminate       FaultKind = "term"             // SIGTERM, and a restart once the process has ended
	LoseDisk        FaultKind = "disk_lost"        // a store or controller is killed and restarts with an empty disk
	IsolateMachine  FaultKind = "cut"              // a machine from all others
	PartitionPair   FaultKind = "cut_pair"         // two machines from each other
	DropOutbound    FaultKind = "cut_out"          // what a machine sends is lost
	PartitionHalves FaultKind = "cut_halves"       // every second machine from the others
	DropAcks        FaultKind = "acks_lost"        // responses to the operator are lost
	DropResponses   FaultKind = "answers_lost"     // responses to client programs are lost
)

// faultKinds are the kinds that plans draw from.
var faultKinds = faultplan.Kinds[FaultKind]{
	{Name: KillOne, Weight: 2},
	{Name: KillSome, Weight: 2},
	{Name: KillStores, Weight: 1},
	{Name: KillControllers, Weight: 1},
	{Name: KillAll, Weight: 1},
	{Name: PauseOne, Weight: 2},
	{Name: PauseSome, Weight: 1},
	{Name: Terminate, Weight: 2},
	{Name: LoseDisk, Weight: 2},
	{Name: DropAcks, Weight: 1},
	{Name: DropResponses, Weight: 1},
}

// partitionKinds are the further kinds of plans with network partitions.
var partitionKinds = faultplan.Kinds[FaultKind]{
	{Name: IsolateMachine, Weight: 2},
	{Name: PartitionPair, Weight: 1},
	{Name: DropOutbound, Weight: 1},
	{Name: PartitionHalves, Weight: 1},
}

// Fault is one fault of a plan. Count is how many processes it affects, or for PartitionPair the distance from the first machine's
// number to the second's.
type Fault struct {
	At     time.Duration `json:"at"`
	Kind   FaultKind     `json:"kind"`
	Target int           `json:"target"`
	Count  int           `json:"count,omitempty"`
	For    time.Duration `json:"for"`
}

// Plan describes one run: its faults, which overlap, and the closing one.
type Plan struct {
	Seed       uint64        `json:"seed"`
	Large      bool          `json:"large,omitempty"` // five controllers, six stores and three edges, in place of three, four and two
	Partitions bool          `json:"cuts,omitempty"`  // the network can be partitioned
	Length     time.Duration `json:"length"`
	Faults     []Fault       `json:"troubles"`
	Closing    Fault         `json:"closing"` // KillAll, or LoseDisk: the same, with a lost disk
	Spread     time.Duration `json:"spread"`  // time within which the processes restart after the closing fault; 0: all at once
}

// Text returns the plan as JSON.
func (p Plan) Text() string { return faultplan.Text(p) }

// Parameters of random plans.
const (
	clusterInterval  = 4 * time.Second // faults come in clusters of two or three
	clusterSpread    = 1500 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4500 * time.Millisecond
	maxSpread        = 2 * time.Second
	planStream       = 0x736f616b // separates the plan's random numbers from others of the same seed
)

// RandomPlan draws a plan from a seed. Faults start within length. The order of its draws must not change, so that a seed
// keeps its plan.
func RandomPlan(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, planStream))
	plan := Plan{Seed: seed, Length: length, Large: random.IntN(4) == 0, Partitions: random.IntN(2) == 0}
	drawn := faultKinds
	if plan.Partitions {
		drawn = append(slices.Clone(faultKinds), partitionKinds...)
	}
	between := func(low, high time.Duration) time.Duration {
		return (low + time.Duration(random.Int64N(int64(high-low)))).Round(time.Millisecond)
	}
	draw := func(at time.Duration, kind FaultKind) Fault {
		return Fault{At: at, Kind: kind, Target: random.IntN(1 << 10), Count: 2 + random.IntN(3), For: between(minFaultDuration, maxFaultDuration)}
	}
	for at := time.Second; at < length; at += clusterInterval {
		for range 2 + random.IntN(2) {
			plan.Faults = append(plan.Faults, draw(at+between(0, clusterSpread), drawn.Draw(random).Name))
		}
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	plan.Closing = draw(length, []FaultKind{KillAll, LoseDisk}[random.IntN(2)])
	if random.IntN(2) == 0 {
		plan.Spread = between(0, maxSpread)
	}
	return plan
}
