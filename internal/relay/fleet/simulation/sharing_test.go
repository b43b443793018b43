package simulation

import (
	"math/rand/v2"
	"testing"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

var key = quota.KeyOf(quota.Destination, "p1")

// sharing is a fleet in which relays want, of a limit of 100 a second, what want says.
func sharing(relays int, seed uint64, want func(r *Relay) float64) Options {
	const voters = 3
	options := calm(relays, voters, seed)
	options.GuaranteedShare, options.Zones = 0.25, 2
	options.Demands = func(_ *World, r *Relay) []quota.Demand {
		return []quota.Demand{{Key: key, Rate: want(r), Value: 1, Limit: 100}}
	}
	return options
}

func (w *World) shares() (all []float64, sum float64) {
	for _, r := range w.Relays {
		all = append(all, w.SpendableShare(r, key))
		sum += w.SpendableShare(r, key)
	}
	return all, sum
}

// TestShares_DemandMoves_ShareFollows: a relay that needs more than an equal share gets it within a lease, from those that need less;
// when another one needs more, the share moves there. Nearly all of the limit is leased, and equal demands get equal shares.
func TestShares_DemandMoves_ShareFollows(t *testing.T) {
	busy := 0
	world := formedWorld(t, sharing(6, 1, func(r *Relay) float64 {
		if r.Index == busy {
			return 60
		}
		return 2
	}))
	for ; busy < 6; busy++ {
		world.Run(2 * time.Second)
		all, sum := world.shares()
		if all[busy] < 0.6 || sum < 0.95 {
			t.Fatalf("relay %d needs the most: %.3f, %.3f in all", busy, all, sum)
		}
		if x, y := all[(busy+1)%6], all[(busy+2)%6]; x/y > 1.25 || y/x > 1.25 {
			t.Errorf("equal demands have unequal shares: %.3f", all)
		}
	}
	judge(t, world)
}

// TestShares_RelayPartitioned_KeepsShareUntilExpiry: a partitioned relay keeps its share until its lease expires by its own clock, with
// ServeWhenPartitioned its guaranteed minimum after that; the others have the rest soon after, and it has its share again once it is
// back.
func TestShares_RelayPartitioned_KeepsShareUntilExpiry(t *testing.T) {
	for _, serve := range []bool{false, true} {
		options := sharing(5, 2, func(r *Relay) float64 {
			if r.Index == 4 {
				return 90
			}
			return 30
		})
		options.ServeWhenPartitioned = serve
		world := formedWorld(t, options)
		last := world.Relays[4]
		had := world.SpendableShare(last, key)
		world.isolate(last)
		world.Run(options.Lease / 2)
		if now := world.SpendableShare(last, key); now < 0.9*had {
			t.Errorf("serve %v: half a lease after it was partitioned it has %.3f of %.3f", serve, now, had)
		}
		world.Run(2 * options.Lease)
		all, sum := world.shares()
		if floor := 0.25 / 5; serve && (all[4] < 0.9*floor || all[4] > floor) || !serve && all[4] != 0 {
			t.Errorf("serve %v: partitioned for long it has %.4f", serve, all[4])
		}
		if sum < 0.93 {
			t.Errorf("serve %v: the others have only %.3f", serve, all)
		}
		world.Heal()
		world.Run(2 * options.Lease)
		if all, _ := world.shares(); all[4] < 0.9*had {
			t.Errorf("serve %v: back again it has %.3f, and had %.3f", serve, all[4], had)
		}
		judge(t, world)
	}
}

// TestShares_LeaderCrashes_OthersKeepTheirs: when the leader crashes, the others go on with the shares that they have; none falls to its
// guaranteed minimum.
func TestShares_LeaderCrashes_OthersKeepTheirs(t *testing.T) {
	world := formedWorld(t, sharing(6, 3, func(r *Relay) float64 { return []float64{5, 5, 5, 60, 5, 5}[r.Index] }))
	before, _ := world.shares()
	world.Crash(world.leader(t))
	minShare := 1.0
	for range 400 {
		world.Run(10 * time.Millisecond)
		if world.Relays[3].Mandate.Until > world.Relays[3].clock(world.Now()) {
			minShare = min(minShare, world.SpendableShare(world.Relays[3], key))
		}
	}
	if minShare < 0.8*before[3] {
		t.Errorf("it had %.3f, and %.3f at the least until another one led", before[3], minShare)
	}
	judge(t, world)
}

// TestShares_OneRelayLies_CostsOthersOneLease: a relay that claims to have everything after the leader has crashed, demands everything,
// or reports that all is down, costs the others no more than one lease of what they had, and is named.
func TestShares_OneRelayLies_CostsOthersOneLease(t *testing.T) {
	options := sharing(7, 4, func(_ *Relay) float64 { return 20 })
	down := options.Demands
	options.Demands = func(world *World, r *Relay) []quota.Demand {
		n := down(world, r)
		n[0].State = quota.Healthy
		if r.Index == 6 {
			n[0].Rate, n[0].Limit, n[0].State = 1e9, 1, quota.Down
		}
		return n
	}
	world := formedWorld(t, options)
	all, _ := world.shares()
	for i, p := range all[:6] {
		if p < 0.25/7 {
			t.Errorf("relay %d has %.4f beside one that demands everything", i, p)
		}
	}
	for _, r := range world.Relays[:6] {
		for _, p := range r.Lease.Shares {
			if p.State == quota.Down || p.Limit < 90 {
				t.Errorf("%s is granted %+v by the report of one", r.Name, p)
			}
		}
	}
	if odd := world.leader(t).Node.Status().Contradictions; odd["r6"] == 0 || len(odd) != 1 {
		t.Errorf("contradictions: %v", odd)
	}
	judge(t, world)
}

// TestVerdict_EvidenceOfBothZones_HoldsWhileItLasts: what relays of both zones find down counts as down for all; what one zone can't
// reach counts for that zone only; when it is back a relay's delivery shows that to all; and a verdict does not outlast its evidence.
func TestVerdict_EvidenceOfBothZones_HoldsWhileItLasts(t *testing.T) {
	sees := map[int]quota.State{}
	options := sharing(8, 5, nil)
	var at time.Duration
	options.Demands = func(world *World, r *Relay) []quota.Demand {
		return []quota.Demand{{Key: key, Rate: 1, Value: 1, Limit: 100, State: sees[r.Index], StateAge: world.Now() - at}}
	}
	world := formedWorld(t, options)
	leasedBy := func(r int) quota.KeyShare {
		for _, p := range world.Relays[r].Lease.Shares {
			return p
		}
		return quota.KeyShare{}
	}
	see := func(s quota.State, relays ...int) {
		clear(sees)
		at = world.Now()
		for _, r := range relays {
			sees[r] = s
		}
		world.Run(1500 * time.Millisecond)
	}
	see(quota.Down, 2)
	if leasedBy(5).State == quota.Down || leasedBy(4).State == quota.Down {
		t.Error("the report of one relay stops others")
	}
	see(quota.Down, 2, 4) // both of zone 0
	if leasedBy(6).State != quota.Down || leasedBy(5).State == quota.Down {
		t.Errorf("two of zone 0: zone 0 is told %v, zone 1 %v", leasedBy(6).State, leasedBy(5).State)
	}
	see(quota.Down, 2, 3)
	if leasedBy(6).State != quota.Down || leasedBy(5).State != quota.Down {
		t.Errorf("one of each zone: told %v and %v", leasedBy(6).State, leasedBy(5).State)
	}
	sees[4], sees[5], at = quota.Healthy, quota.Healthy, world.Now() // as where each second call fails
	world.Run(1500 * time.Millisecond)
	if leasedBy(6).State == quota.Down || leasedBy(7).State == quota.Down {
		t.Errorf("as many deliver there as fail: told %v and %v", leasedBy(6).State, leasedBy(7).State)
	}
	see(quota.Down, 2, 3)
	world.Run(200 * time.Millisecond)
	probes := 0
	for i := range 8 {
		if leasedBy(i).MayProbe {
			probes++
		}
	}
	if probes != 2 {
		t.Errorf("%d relays are to try, want one a zone", probes)
	}
	world.Run(7 * time.Second) // nobody sees anything newer
	if leasedBy(6).State != quota.Unseen {
		t.Errorf("a verdict outlasts its evidence: %+v", leasedBy(6))
	}
	see(quota.Healthy, 2, 3)
	if leasedBy(6).State != quota.Healthy || leasedBy(5).State != quota.Healthy {
		t.Errorf("it is back: told %v and %v", leasedBy(6).State, leasedBy(5).State)
	}
	judge(t, world)
}

// TestShares_RosterChangesUnderLoad_StayWithinLimit: under load a relay leaves the roster and its share goes to the others; it joins
// again and has its guaranteed minimum and what it demands. At no moment may more be spent than the limit.
func TestShares_RosterChangesUnderLoad_StayWithinLimit(t *testing.T) {
	for _, serve := range []bool{false, true} {
		options := sharing(6, 90, func(_ *Relay) float64 { return 30 })
		options.ServeWhenPartitioned = serve
		world := formedWorld(t, options)
		removed := world.Relays[5]
		enlist := func(names []string) {
			world.roster = names
			world.Crash(world.Relays[0])
			world.Start(world.Relays[0]) // with another file
			world.Run(4 * options.Lease)
			world.Admin(world.Relays[0], node.AdminRequest{Op: "roster"})
			world.Run(5 * options.Lease)
		}
		enlist(world.relayNames(5))
		if all, sum := world.shares(); !serve && (all[5] != 0 || sum < 0.93) {
			t.Errorf("one has left the roster, and the shares are %.3f", all)
		}
		enlist(nil)
		world.roster = nil
		world.Crash(removed)
		world.Start(removed)
		world.Run(5 * options.Lease)
		if all, sum := world.shares(); all[5] < 0.8/6 || sum < 0.93 {
			t.Errorf("serve %v: it has joined again, and the shares are %.3f", serve, all)
		}
		for _, e := range world.History {
			if e.Kind == checker.Breached {
				t.Errorf("serve %v: at %v: %s", serve, e.At, e.Text)
			}
		}
	}
}

// TestShares_ClockBeyondBound_OverspendsNoLongerThanSlow: a relay whose clock is slower than the stated bound spends its share for as
// much longer than it may as the clock is slow, and no longer.
func TestShares_ClockBeyondBound_OverspendsNoLongerThanSlow(t *testing.T) {
	options := sharing(5, 91, func(_ *Relay) float64 { return 40 })
	world := formedWorld(t, options)
	slow := world.Relays[4]
	now := slow.clock(world.Now())
	slow.clockRate = 0.7 // the bound is 0.05 either way
	slow.clockOffset = float64(now) - float64(world.Now())*slow.clockRate
	world.Run(2 * options.Lease)
	world.isolate(slow)
	partitionedAt, maxSum := world.Now(), 0.0
	var last time.Duration
	for world.Now() < partitionedAt+4*options.Lease {
		world.Run(10 * time.Millisecond)
		if _, sum := world.shares(); sum > 1+1e-9 {
			maxSum, last = max(maxSum, sum), world.Now()-partitionedAt
		}
	}
	if bound := time.Duration(float64(options.Lease) * (1 + 0.05) / 0.7); last > bound || maxSum > 1.3 {
		t.Errorf("%.3f may be spent, until %v after the cut; want no later than %v", maxSum, last, bound)
	}
	t.Logf("%.3f at the most, the last %v after the cut", maxSum, last)
}

// TestShares_MessagesLaterThanLease_SpendNothing: with messages five seconds in transit no relay gets a lease: none acts, and nothing
// beyond the limit is spent.
func TestShares_MessagesLaterThanLease_SpendNothing(t *testing.T) {
	options := sharing(5, 92, func(_ *Relay) float64 { return 40 })
	world := formedWorld(t, options)
	world.Delay = 5 * time.Second
	world.Run(8 * time.Second)
	if all, sum := world.shares(); sum > 0 {
		t.Errorf("they still spend %.3f", all)
	}
	world.Delay = time.Millisecond
	world.Run(12 * options.Lease)
	if all, sum := world.shares(); sum < 0.9 {
		t.Errorf("all is well again, and they spend %.3f", all)
	}
	judge(t, world)
}

// TestShares_DemandJitters_StaySteady: demands that only vary by a tenth leave the shares where they are.
func TestShares_DemandJitters_StaySteady(t *testing.T) {
	jitter := rand.New(rand.NewPCG(1, 1))
	world := formedWorld(t, sharing(8, 93, func(r *Relay) float64 {
		return []float64{40, 20, 5, 5, 5, 5, 5, 5}[r.Index] * (0.9 + 0.2*jitter.Float64())
	}))
	minShare, maxShare := 1.0, 0.0
	for range 2000 {
		world.Run(10 * time.Millisecond)
		p := world.SpendableShare(world.Relays[0], key)
		minShare, maxShare = min(minShare, p), max(maxShare, p)
	}
	t.Logf("a need of 0.4 has %.3f to %.3f in 20 s", minShare, maxShare)
	if minShare < 0.4 || maxShare > 1.25*minShare {
		t.Errorf("a need of 0.4 has %.3f to %.3f in 20 s", minShare, maxShare)
	}
}
