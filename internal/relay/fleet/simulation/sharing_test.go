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

// sharedOptions returns the options of a fleet that shares a limit of 100 calls/s, of which each relay demands the rate that want returns.
func sharedOptions(relays int, seed uint64, want func(r *Relay) float64) Options {
	const voters = 3
	options := faultlessOptions(relays, voters, seed)
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

// TestShares_DemandMoves_ShareFollows: a relay that demands more than an equal share gets it within a lease. When another relay demands
// more, the share moves there. Nearly all of the limit is leased, and equal demands get equal shares.
func TestShares_DemandMoves_ShareFollows(t *testing.T) {
	busy := 0
	world := formedWorld(t, sharedOptions(6, 1, func(r *Relay) float64 {
		if r.Index == busy {
			return 60
		}
		return 2
	}))
	for ; busy < 6; busy++ {
		world.Run(2 * time.Second)
		all, sum := world.shares()
		if all[busy] < 0.6 || sum < 0.95 {
			t.Fatalf("relay %d has the largest demand: shares %.3f with sum %.3f, want at least 0.6 for it and a sum of 0.95", busy, all, sum)
		}
		if x, y := all[(busy+1)%6], all[(busy+2)%6]; x/y > 1.25 || y/x > 1.25 {
			t.Errorf("equal demands got unequal shares: %.3f", all)
		}
	}
	requireNoBreach(t, world)
}

// TestShares_RelayPartitioned_KeepsShareUntilExpiry: a partitioned relay keeps its share until its lease expires by its own clock, and with
// ServeWhenPartitioned its guaranteed minimum after that. The others get the rest soon after, and the relay regains its share after the
// partition.
func TestShares_RelayPartitioned_KeepsShareUntilExpiry(t *testing.T) {
	for _, serve := range []bool{false, true} {
		options := sharedOptions(5, 2, func(r *Relay) float64 {
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
			t.Errorf("serve %v: half a lease after the partition the relay has share %.3f, before %.3f", serve, now, had)
		}
		world.Run(2 * options.Lease)
		all, sum := world.shares()
		if minimum := 0.25 / 5; serve && (all[4] < 0.9*minimum || all[4] > minimum) || !serve && all[4] != 0 {
			t.Errorf("serve %v: after the end of its lease the partitioned relay has share %.4f", serve, all[4])
		}
		if sum < 0.93 {
			t.Errorf("serve %v: the shares are only %.3f during the partition, want a sum of 0.93", serve, all)
		}
		world.Heal()
		world.Run(2 * options.Lease)
		if all, _ := world.shares(); all[4] < 0.9*had {
			t.Errorf("serve %v: after the partition the relay has share %.3f, before %.3f", serve, all[4], had)
		}
		requireNoBreach(t, world)
	}
}

// TestShares_LeaderCrashes_OthersKeepTheirs: a relay keeps its share, and does not fall back to its guaranteed minimum, while the leader
// crashes and is replaced.
func TestShares_LeaderCrashes_OthersKeepTheirs(t *testing.T) {
	world := formedWorld(t, sharedOptions(6, 3, func(r *Relay) float64 { return []float64{5, 5, 5, 60, 5, 5}[r.Index] }))
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
		t.Errorf("the share fell from %.3f to %.3f after the crash of the leader", before[3], minShare)
	}
	requireNoBreach(t, world)
}

// TestShares_OneRelayLies_CostsOthersOneLease: a relay that demands everything and reports a wrong limit and state does not take the
// others' guaranteed minimums, does not change their limit or verdict, and is counted as a contradiction.
func TestShares_OneRelayLies_CostsOthersOneLease(t *testing.T) {
	options := sharedOptions(7, 4, func(_ *Relay) float64 { return 20 })
	base := options.Demands
	options.Demands = func(world *World, r *Relay) []quota.Demand {
		n := base(world, r)
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
			t.Errorf("relay %d has share %.4f, less than its guaranteed minimum", i, p)
		}
	}
	for _, r := range world.Relays[:6] {
		for _, p := range r.Lease.Shares {
			if p.State == quota.Down || p.Limit < 90 {
				t.Errorf("%s got %+v because of a single wrong report", r.Name, p)
			}
		}
	}
	if contradictions := world.leader(t).Node.Status().Contradictions; contradictions["r6"] == 0 || len(contradictions) != 1 {
		t.Errorf("contradictions %v, want them of r6 only", contradictions)
	}
	requireNoBreach(t, world)
}

// TestVerdict_EvidenceOfBothZones_HoldsWhileItLasts: a destination that relays of both zones report down is down for all relays, one that
// only a zone reports down is down for that zone. A verdict does not outlast its evidence, and ends with deliveries.
func TestVerdict_EvidenceOfBothZones_HoldsWhileItLasts(t *testing.T) {
	states := map[int]quota.State{}
	options := sharedOptions(8, 5, nil)
	var at time.Duration
	options.Demands = func(world *World, r *Relay) []quota.Demand {
		return []quota.Demand{{Key: key, Rate: 1, Value: 1, Limit: 100, State: states[r.Index], StateAge: world.Now() - at}}
	}
	world := formedWorld(t, options)
	leasedBy := func(r int) quota.KeyShare {
		for _, p := range world.Relays[r].Lease.Shares {
			return p
		}
		return quota.KeyShare{}
	}
	report := func(s quota.State, relays ...int) {
		clear(states)
		at = world.Now()
		for _, r := range relays {
			states[r] = s
		}
		world.Run(1500 * time.Millisecond)
	}
	report(quota.Down, 2)
	if leasedBy(5).State == quota.Down || leasedBy(4).State == quota.Down {
		t.Error("the report of a single relay made the destination down for others")
	}
	report(quota.Down, 2, 4) // both relays are in zone 0
	if leasedBy(6).State != quota.Down || leasedBy(5).State == quota.Down {
		t.Errorf("two reports from zone 0: verdict for zone 0 is %v, for zone 1 %v", leasedBy(6).State, leasedBy(5).State)
	}
	report(quota.Down, 2, 3)
	if leasedBy(6).State != quota.Down || leasedBy(5).State != quota.Down {
		t.Errorf("a report from each zone: verdicts are %v and %v, want down", leasedBy(6).State, leasedBy(5).State)
	}
	states[4], states[5], at = quota.Healthy, quota.Healthy, world.Now() // as if every second call fails
	world.Run(1500 * time.Millisecond)
	if leasedBy(6).State == quota.Down || leasedBy(7).State == quota.Down {
		t.Errorf("as many relays deliver as fail: verdicts are %v and %v, want none down", leasedBy(6).State, leasedBy(7).State)
	}
	report(quota.Down, 2, 3)
	world.Run(200 * time.Millisecond)
	probes := 0
	for i := range 8 {
		if leasedBy(i).MayProbe {
			probes++
		}
	}
	if probes != 2 {
		t.Errorf("%d relays may probe, want one per zone", probes)
	}
	world.Run(7 * time.Second) // without newer evidence
	if leasedBy(6).State != quota.Unseen {
		t.Errorf("a verdict outlasted its evidence: %+v", leasedBy(6))
	}
	report(quota.Healthy, 2, 3)
	if leasedBy(6).State != quota.Healthy || leasedBy(5).State != quota.Healthy {
		t.Errorf("deliveries in each zone: verdicts are %v and %v, want healthy", leasedBy(6).State, leasedBy(5).State)
	}
	requireNoBreach(t, world)
}

// TestShares_RosterChangesUnderLoad_StayWithinLimit: when a relay leaves the roster under load, the others get its share. When it rejoins,
// it gets a share again. At no time may the relays spend more than the limit.
func TestShares_RosterChangesUnderLoad_StayWithinLimit(t *testing.T) {
	for _, serve := range []bool{false, true} {
		options := sharedOptions(6, 90, func(_ *Relay) float64 { return 30 })
		options.ServeWhenPartitioned = serve
		world := formedWorld(t, options)
		removed := world.Relays[5]
		setRoster := func(names []string) {
			world.roster = names
			world.Crash(world.Relays[0])
			world.Start(world.Relays[0]) // with another configuration
			world.Run(4 * options.Lease)
			world.Admin(world.Relays[0], node.AdminRequest{Op: "roster"})
			world.Run(5 * options.Lease)
		}
		setRoster(world.relayNames(5))
		if all, sum := world.shares(); !serve && (all[5] != 0 || sum < 0.93) {
			t.Errorf("shares %.3f after a relay left the roster, want 0 for it and a sum of 0.93", all)
		}
		setRoster(nil)
		world.roster = nil
		world.Crash(removed)
		world.Start(removed)
		world.Run(5 * options.Lease)
		if all, sum := world.shares(); all[5] < 0.8/6 || sum < 0.93 {
			t.Errorf("serve %v: shares %.3f after the relay rejoined, want a sum of 0.93", serve, all)
		}
		for _, e := range world.History {
			if e.Kind == checker.Breached {
				t.Errorf("serve %v: at %v: %s", serve, e.At, e.Text)
			}
		}
	}
}

// TestShares_ClockBeyondBound_OverspendsNoLongerThanSlow: a relay whose clock is slower than MaxClockDrift allows may spend its share
// longer than its lease, but only in proportion to the slowness of the clock.
func TestShares_ClockBeyondBound_OverspendsNoLongerThanSlow(t *testing.T) {
	options := sharedOptions(5, 91, func(_ *Relay) float64 { return 40 })
	world := formedWorld(t, options)
	slow := world.Relays[4]
	now := slow.clock(world.Now())
	slow.clockRate = 0.7 // MaxClockDrift is 0.05
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
		t.Errorf("up to %.3f may be spent, until %v after the partition; want at most 1.3, until %v", maxSum, last, bound)
	}
	t.Logf("up to %.3f may be spent, until %v after the partition", maxSum, last)
}

// TestShares_MessagesLaterThanLease_SpendNothing: while messages take longer than a lease, no relay has a valid lease, and none may spend
// anything.
func TestShares_MessagesLaterThanLease_SpendNothing(t *testing.T) {
	options := sharedOptions(5, 92, func(_ *Relay) float64 { return 40 })
	world := formedWorld(t, options)
	world.Delay = 5 * time.Second
	world.Run(8 * time.Second)
	if all, sum := world.shares(); sum > 0 {
		t.Errorf("relays may spend %.3f without leases", all)
	}
	world.Delay = time.Millisecond
	world.Run(12 * options.Lease)
	if all, sum := world.shares(); sum < 0.9 {
		t.Errorf("relays may spend only %.3f after the delay, want a sum of 0.9", all)
	}
	requireNoBreach(t, world)
}

// TestShares_DemandJitters_StaySteady: shares stay nearly constant if demands vary by only a tenth.
func TestShares_DemandJitters_StaySteady(t *testing.T) {
	jitter := rand.New(rand.NewPCG(1, 1))
	world := formedWorld(t, sharedOptions(8, 93, func(r *Relay) float64 {
		return []float64{40, 20, 5, 5, 5, 5, 5, 5}[r.Index] * (0.9 + 0.2*jitter.Float64())
	}))
	minShare, maxShare := 1.0, 0.0
	for range 2000 {
		world.Run(10 * time.Millisecond)
		p := world.SpendableShare(world.Relays[0], key)
		minShare, maxShare = min(minShare, p), max(maxShare, p)
	}
	t.Logf("a demand of 0.4 of the limit has a share of %.3f to %.3f in 20s", minShare, maxShare)
	if minShare < 0.4 || maxShare > 1.25*minShare {
		t.Errorf("a demand of 0.4 of the limit has a share of %.3f to %.3f in 20s", minShare, maxShare)
	}
}
