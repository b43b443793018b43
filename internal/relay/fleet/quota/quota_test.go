package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWireEncoding_RoundTrip_IsNeverMoreNorFresher: after encoding and decoding, numbers are not larger and ages not shorter than before. A
// truncated list is rejected.
func TestWireEncoding_RoundTrip_IsNeverMoreNorFresher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(11*time.Second)).Draw(t, name))
		}
		share := KeyShare{Key: Key(rapid.Uint32().Draw(t, "key")), Extra: rapid.Float64Range(0, 1).Draw(t, "extra"),
			Limit: rapid.Float64Range(0, 1e6).Draw(t, "limit"), LimitAge: age("told"), State: State(rapid.IntRange(0, 2).Draw(t, "state")),
			StateAge: age("seen"), Wait: age("wait"),
			MayProbe: rapid.Bool().Draw(t, "try")}
		encoded := EncodeKeyShares([]KeyShare{share})
		got, err := DecodeKeyShares(encoded)
		if err != nil || len(got) != 1 {
			t.Fatal(err, got)
		}
		decoded := got[0]
		if decoded.Extra > share.Extra || decoded.Extra < share.Extra*0.99-1e-30 || decoded.Limit > share.Limit ||
			decoded.LimitAge < share.LimitAge || decoded.StateAge < share.StateAge || decoded.Wait < share.Wait ||
			decoded.State != share.State || decoded.MayProbe != share.MayProbe || decoded.Key != share.Key ||
			RoundToWire(decoded.Extra) != decoded.Extra {
			t.Fatalf("%+v became %+v", share, decoded)
		}
		size := rapid.IntRange(1, keyShareBytes-1).Draw(t, "cut")
		if _, err := DecodeKeyShares(encoded[:size]); err == nil {
			t.Fatal("a truncated list is accepted")
		}
		if demands, err := DecodeDemands(rapid.SliceOfN(rapid.Byte(), demandBytes, demandBytes).Draw(t, "garbled")); err != nil ||
			!(demands[0].Rate >= 0 && demands[0].Rate < 1e39) ||
			demands[0].State > Down {
			t.Fatalf("garbled demands are decoded as %+v: %v", demands, err)
		}
	})
}

// TestAllocator_AnyDemands_SplitsFairlyWithinLimit: for any demands, the shares do not exceed the limit, every relay has its guaranteed
// minimum, and equal demands get equal shares. If demands exceed the limit, a relay does not get more than another with a larger unmet
// demand.
func TestAllocator_AnyDemands_SplitsFairlyWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allocator := NewAllocator(Options{MinimumSum: 0.25, LeaseDuration: 2 * time.Second}, 1, 0)
		relays := rapid.IntRange(1, 12).Draw(t, "relays")
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}[:relays]
		allocator.SetRoster(names)
		demands := rapid.SliceOfN(rapid.Float64Range(0, 200), relays, relays).Draw(t, "wants")
		limit := rapid.SampledFrom([]float64{0, 1, 100, 1e5}).Draw(t, "limit")
		leases := make([]uint64, relays)
		shares := make([]float64, relays)
		for round := range 12 {
			now := time.Duration(round) * 200 * time.Millisecond
			sum := 0.0
			for i, name := range names {
				allocator.HandleRequest(now, name, 1, &Request{LeaseTerm: 1, NewestTerm: 1, LeaseNumber: leases[i],
					Demands: EncodeDemands([]Demand{{Key: 7, Rate: demands[i], Value: 1, Limit: limit}})})
			}
			for i, name := range names {
				grant := allocator.Grant(now, now, name)
				if grant == nil || grant.ReportLeased {
					t.Fatalf("%s got grant %+v, want a lease", name, grant)
				}
				if leases[i] = grant.LeaseNumber; grant.HasShares {
					p, err := DecodeKeyShares(grant.Shares)
					if err != nil || len(p) != 1 {
						t.Fatal(p, err)
					}
					shares[i] = fromFloat16(grant.Minimum) + p[0].Extra
				}
			}
			for _, p := range shares {
				sum += p
			}
			if sum > 1+1e-9 {
				t.Fatalf("the shares add up to %.6f, want at most 1: %.4f", sum, shares)
			}
		}
		for i, p := range shares {
			if p < 0.24/float64(relays) {
				t.Fatalf("%s has share %.4f, less than its guaranteed minimum", names[i], p)
			}
			for j, q := range shares {
				if demands[i] == demands[j] && (p > q*1.15+0.01 || q > p*1.15+0.01) {
					t.Fatalf("equal demands of %v got the shares %.4f and %.4f", demands[i], p, q)
				}
				if limit > 0 && p > q*1.15+0.01 && q*limit < demands[j]*0.85 && demands[i] <= demands[j] {
					t.Fatalf("%s demands %v and has share %.4f, but %s demands %v and has only %.4f", names[i], demands[i], p, names[j], demands[j], q)
				}
			}
		}
	})
}

// TestLease_NewLeader_FormerGrantsCountNoMore: a relay that knows a newer leader rejects grants of a former one, and the newer leader
// leases nothing to a relay until that has reported the new term.
func TestLease_NewLeader_FormerGrantsCountNoMore(t *testing.T) {
	lessee := &Lessee{}
	grant := func(term uint64) *Grant {
		return &Grant{Term: term, LeaseNumber: 1, HasShares: true, Minimum: toFloat16(0.1), Shares: EncodeKeyShares([]KeyShare{{Key: 7, Extra: 0.5}})}
	}
	if lessee.HandleGrant(time.Second, &Grant{Term: 5, ReportLeased: true}) != nil || lessee.HandleGrant(time.Second, grant(4)) != nil {
		t.Error("the relay accepted a grant of a former leader")
	}
	if s := lessee.HandleGrant(time.Second, grant(5)); s == nil || len(s.Shares) != 1 || s.Shares[0].Extra != 0.5 {
		t.Errorf("the relay got lease %+v from a grant of the newest leader, want one share with Extra 0.5", s)
	}
	allocator := NewAllocator(Options{MinimumSum: 0.25, LeaseDuration: 2 * time.Second, ServeWhenPartitioned: true}, 5, 0)
	allocator.SetRoster([]string{"a"})
	demands := EncodeDemands([]Demand{{Key: 7, Rate: 1, Value: 1}})
	allocator.HandleRequest(time.Millisecond, "a", 1, &Request{NewestTerm: 4, Demands: demands})
	if a := allocator.Grant(time.Millisecond, time.Millisecond, "a"); !a.ReportLeased || a.HasShares {
		t.Errorf("a relay that may still accept a grant of a former leader got %+v, want only ReportLeased", a)
	}
	allocator.HandleRequest(time.Second, "a", 1, &Request{NewestTerm: 5, Demands: demands})
	if a := allocator.Grant(time.Second, time.Second, "a"); a.ReportLeased || !a.HasShares {
		t.Errorf("a relay that reported the new term got %+v, want shares", a)
	}
}

// TestAllocator_FalseClaim_IsCountedAndGainsNothing: a report of a former lease that is impossible is counted as a contradiction.
// Afterwards all relays have equal shares, and the sum never exceeds the limit.
func TestAllocator_FalseClaim_IsCountedAndGainsNothing(t *testing.T) {
	allocator := NewAllocator(Options{MinimumSum: 0.25, LeaseDuration: 2 * time.Second}, 9, 0)
	names := []string{"a", "b", "liar"}
	allocator.SetRoster(names)
	demands := EncodeDemands([]Demand{{Key: 7, Rate: 50, Value: 1, Limit: 100}})
	claims := map[string]float64{"a": 0.4, "b": 0.3, "liar": 0.9}
	for _, name := range names {
		allocator.HandleRequest(0, name, 1, &Request{LeaseTerm: 8, LeaseNumber: 3, NewestTerm: 9, Demands: demands,
			Minimum: toFloat16(0.08), LeasedShares: EncodeKeyShares([]KeyShare{{Key: 7, Extra: claims[name]}})})
	}
	leases, shares := map[string]uint64{}, map[string]float64{}
	for now := 100 * time.Millisecond; now < 6*time.Second; now += 200 * time.Millisecond {
		sum := 0.0
		for _, name := range names {
			allocator.HandleRequest(now, name, 1, &Request{LeaseTerm: 9, LeaseNumber: leases[name], NewestTerm: 9, Demands: demands})
			if grant := allocator.Grant(now, now, name); grant != nil && grant.HasShares {
				p, err := DecodeKeyShares(grant.Shares)
				if err != nil || len(p) != 1 {
					t.Fatal(p, err)
				}
				leases[name], shares[name] = grant.LeaseNumber, fromFloat16(grant.Minimum)+p[0].Extra
			}
			sum += shares[name]
		}
		if sum > 1+1e-9 {
			t.Fatalf("at %v the shares add up to %.3f, want at most 1: %v", now, sum, shares)
		}
	}
	if allocator.Contradictions["liar"] == 0 || len(allocator.Contradictions) != 1 {
		t.Errorf("contradictions %v, want them of the relay liar only", allocator.Contradictions)
	}
	for _, name := range names {
		if shares[name] < 0.3 || shares[name] > 0.37 {
			t.Errorf("%s has share %.3f in the end, want 0.3 to 0.37", name, shares[name])
		}
	}
}
