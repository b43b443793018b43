package soak

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a kind of trouble.
type Kind string

// The kinds. A trouble that lasts ends after its For. Target and Other are numbers of machines or processes, modulo how many there are.
const (
	KillOne         Kind = "kill"             // a process
	KillSome        Kind = "kill_some"        // two to four
	KillStores      Kind = "kill_stores"      // all
	KillControllers Kind = "kill_controllers" // all
	KillAll         Kind = "kill_all"
	PauseOne        Kind = "pause"      // SIGSTOP, then SIGCONT
	PauseSome       Kind = "pause_some" // two to four
	Terminate       Kind = "term"       // SIGTERM, and a start after the end
	LoseDisk        Kind = "disk_lost"  // of a store or controller, which is back with an empty disk
	CutMachine      Kind = "cut"        // a machine from all others
	CutPair         Kind = "cut_pair"   // two machines from each other
	CutOut          Kind = "cut_out"    // what a machine sends is lost
	CutHalves       Kind = "cut_halves" // each second machine from the others
	LoseAcks        Kind = "acks_lost"  // operators' answers
	LoseAnswers     Kind = "answers_lost"
)

// kinds are those that plans draw from; those named twice come twice as often.
var kinds = []Kind{KillOne, KillOne, KillSome, KillSome, KillStores, KillControllers, KillAll, PauseOne, PauseOne, PauseSome, Terminate, Terminate, LoseDisk,
	LoseDisk, LoseAcks, LoseAnswers}

// cutKinds are more of them, for a network that can be cut.
var cutKinds = []Kind{CutMachine, CutMachine, CutPair, CutOut, CutHalves}

// Trouble is one trouble of a plan.
type Trouble struct {
	At     time.Duration `json:"at"`
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"`
	Count  int           `json:"count,omitempty"`
	For    time.Duration `json:"for"`
}

// Plan is one run: its troubles, which overlap, and the closing one.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Large    bool          `json:"large,omitempty"` // five controllers, six stores and three edges, in place of three, four and two
	Cuts     bool          `json:"cuts,omitempty"`  // the network can be cut
	Length   time.Duration `json:"length"`
	Troubles []Trouble     `json:"troubles"`
	Closing  Trouble       `json:"closing"` // KillAll, or LoseDisk: the same with a lost disk
	Spread   time.Duration `json:"spread"`  // within which the processes come back from it; 0: all at once
}

// Text is the plan as it is kept.
func (p Plan) Text() string {
	text, err := json.Marshal(p)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// What random plans are like.
const (
	clusterPace   = 4 * time.Second // troubles come in clusters of two or three
	clusterSpread = 1500 * time.Millisecond
	shortest      = 200 * time.Millisecond
	longest       = 4500 * time.Millisecond
	mostSpread    = 2 * time.Second
	planStream    = 0x736f616b // tells the plan's random numbers from the others of a seed
)

// RandomPlan draws a plan.
func RandomPlan(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, planStream))
	plan := Plan{Seed: seed, Length: length, Large: random.IntN(4) == 0, Cuts: random.IntN(2) == 0}
	drawn := kinds
	if plan.Cuts {
		drawn = append(slices.Clone(kinds), cutKinds...)
	}
	between := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(random.Int64N(int64(most-least)))).Round(time.Millisecond)
	}
	draw := func(at time.Duration, kind Kind) Trouble {
		return Trouble{At: at, Kind: kind, Target: random.IntN(1 << 10), Count: 2 + random.IntN(3), For: between(shortest, longest)}
	}
	for at := time.Second; at < length; at += clusterPace {
		for range 2 + random.IntN(2) {
			plan.Troubles = append(plan.Troubles, draw(at+between(0, clusterSpread), drawn[random.IntN(len(drawn))]))
		}
	}
	slices.SortStableFunc(plan.Troubles, func(a, b Trouble) int { return int(a.At - b.At) })
	plan.Closing = draw(length, []Kind{KillAll, LoseDisk}[random.IntN(2)])
	if random.IntN(2) == 0 {
		plan.Spread = between(0, mostSpread)
	}
	return plan
}
