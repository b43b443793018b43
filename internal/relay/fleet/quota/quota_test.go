package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWireEncoding_RoundTrip_IsNeverMoreNorFresher: what goes over the wire and back is never more, and never fresher, than it was; a list of any other size is refused.
func TestWireEncoding_RoundTrip_IsNeverMoreNorFresher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(11*time.Second)).Draw(t, name))
		}
		part := KeyShare{Key: Key(rapid.Uint32().Draw(t, "key")), Extra: rapid.Float64Range(0, 1).Draw(t, "extra"), Limit: rapid.Float64Range(0, 1e6).Draw(t, "limit"),
			LimitAge: age("told"), State: State(rapid.IntRange(0, 2).Draw(t, "state")), StateAge: age("seen"), Wait: age("wait"), MayProbe: rapid.Bool().Draw(t, "try")}
		b := EncodeKeyShares([]KeyShare{part})
		got, err := DecodeKeyShares(b)
		if err != nil || len(got) != 1 {
			t.Fatal(err, got)
		}
		g := got[0]
		if g.Extra > part.Extra || g.Extra < part.Extra*0.99-1e-30 || g.Limit > part.Limit || g.LimitAge < part.LimitAge || g.StateAge < part.StateAge || g.Wait < part.Wait ||
			g.State != part.State || g.MayProbe != part.MayProbe || g.Key != part.Key || RoundToWire(g.Extra) != g.Extra {
			t.Fatalf("%+v became %+v", part, g)
		}
		cut := rapid.IntRange(1, keyShareBytes-1).Draw(t, "cut")
		if _, err := DecodeKeyShares(b[:cut]); err == nil {
			t.Fatal("a list that was cut is taken")
		}
		if needs, err := DecodeDemands(rapid.SliceOfN(rapid.Byte(), demandBytes, demandBytes).Draw(t, "garbled")); err != nil || !(needs[0].Rate >= 0 && needs[0].Rate < 1e39) ||
			needs[0].State > Down {
			t.Fatalf("garbled needs are read as %+v: %v", needs, err)
		}
	})
}

// TestAllocator_AnyDemands_SplitsFairlyWithinLimit: whatever relays demand, never more than the limit is leased, guaranteed minimums are never leased to others, equal demands get
// equal shares, and where demands exceed the limit no relay has more than another of the same value that has less than its demand.
func TestAllocator_AnyDemands_SplitsFairlyWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewAllocator(Options{MinimumSum: 0.25, LeaseDuration: 2 * time.Second}, 1, 0)
		n := rapid.IntRange(1, 12).Draw(t, "relays")
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}[:n]
		l.SetRoster(names)
		wants := rapid.SliceOfN(rapid.Float64Range(0, 200), n, n).Draw(t, "wants")
		limit := rapid.SampledFrom([]float64{0, 1, 100, 1e5}).Draw(t, "limit")
		leases := make([]uint64, n)
		parts := make([]float64, n)
		for round := range 12 {
			now := time.Duration(round) * 200 * time.Millisecond
			sum := 0.0
			for i, name := range names {
				l.HandleRequest(now, name, 1, &Request{LeaseTerm: 1, NewestTerm: 1, LeaseNumber: leases[i], Demands: EncodeDemands([]Demand{{Key: 7, Rate: wants[i], Value: 1, Limit: limit}})})
			}
			for i, name := range names {
				a := l.Grant(now, now, name)
				if a == nil || a.ReportLeased {
					t.Fatalf("%s is told %+v", name, a)
				}
				if leases[i] = a.LeaseNumber; a.HasShares {
					p, err := DecodeKeyShares(a.Shares)
					if err != nil || len(p) != 1 {
						t.Fatal(p, err)
					}
					parts[i] = fromFloat16(a.Minimum) + p[0].Extra
				}
			}
			for _, p := range parts {
				sum += p
			}
			if sum > 1+1e-9 {
				t.Fatalf("%.6f is lent: %.4f", sum, parts)
			}
		}
		for i, p := range parts {
			if p < 0.24/float64(n) {
				t.Fatalf("%s has %.4f, less than its floor", names[i], p)
			}
			for j, q := range parts {
				if wants[i] == wants[j] && (p > q*1.15+0.01 || q > p*1.15+0.01) {
					t.Fatalf("the same need, %v, has %.4f and %.4f", wants[i], p, q)
				}
				if limit > 0 && p > q*1.15+0.01 && q*limit < wants[j]*0.85 && wants[i] <= wants[j] {
					t.Fatalf("%s needs %v and has %.4f, %s needs %v and has %.4f", names[i], wants[i], p, names[j], wants[j], q)
				}
			}
		}
	})
}

// TestLease_NewLeader_FormerGrantsCountNoMore: a relay that has heard of a newer leader takes no grant of a former one any more, and the newer one leases nothing until
// the relay has reported that it has heard of it.
func TestLease_NewLeader_FormerGrantsCountNoMore(t *testing.T) {
	p := &Lessee{}
	grant := func(term uint64) *Grant {
		return &Grant{Term: term, LeaseNumber: 1, HasShares: true, Minimum: toFloat16(0.1), Shares: EncodeKeyShares([]KeyShare{{Key: 7, Extra: 0.5}})}
	}
	if p.HandleGrant(time.Second, &Grant{Term: 5, ReportLeased: true}) != nil || p.HandleGrant(time.Second, grant(4)) != nil {
		t.Error("it takes a grant of a leader before one that it has heard of")
	}
	if s := p.HandleGrant(time.Second, grant(5)); s == nil || len(s.Shares) != 1 || s.Shares[0].Extra != 0.5 {
		t.Errorf("it does not take one of the newest: %+v", s)
	}
	l := NewAllocator(Options{MinimumSum: 0.25, LeaseDuration: 2 * time.Second, ServeAlone: true}, 5, 0)
	l.SetRoster([]string{"a"})
	needs := EncodeDemands([]Demand{{Key: 7, Rate: 1, Value: 1}})
	l.HandleRequest(time.Millisecond, "a", 1, &Request{NewestTerm: 4, Demands: needs})
	if a := l.Grant(time.Millisecond, time.Millisecond, "a"); !a.ReportLeased || a.HasShares {
		t.Errorf("it leases to a relay that may yet take a grant of a former leader: %+v", a)
	}
	l.HandleRequest(time.Second, "a", 1, &Request{NewestTerm: 5, Demands: needs})
	if a := l.Grant(time.Second, time.Second, "a"); a.ReportLeased || !a.HasShares {
		t.Errorf("it does not lend: %+v", a)
	}
}

// TestAllocator_FalseClaim_IsCountedAndGainsNothing: a relay that claims a lease that it can't have is counted as a contradiction, takes nothing from what others truly have
// beyond one lease, and gains nothing by it.
func TestAllocator_FalseClaim_IsCountedAndGainsNothing(t *testing.T) {
	l := NewAllocator(Options{MinimumSum: 0.25, LeaseDuration: 2 * time.Second}, 9, 0)
	names := []string{"a", "b", "liar"}
	l.SetRoster(names)
	needs := EncodeDemands([]Demand{{Key: 7, Rate: 50, Value: 1, Limit: 100}})
	holds := map[string]float64{"a": 0.4, "b": 0.3, "liar": 0.9}
	for _, n := range names {
		l.HandleRequest(0, n, 1, &Request{LeaseTerm: 8, LeaseNumber: 3, NewestTerm: 9, Demands: needs, Minimum: toFloat16(0.08), LeasedShares: EncodeKeyShares([]KeyShare{{Key: 7, Extra: holds[n]}})})
	}
	leases, parts := map[string]uint64{}, map[string]float64{}
	for now := 100 * time.Millisecond; now < 6*time.Second; now += 200 * time.Millisecond {
		sum := 0.0
		for _, n := range names {
			l.HandleRequest(now, n, 1, &Request{LeaseTerm: 9, LeaseNumber: leases[n], NewestTerm: 9, Demands: needs})
			if a := l.Grant(now, now, n); a != nil && a.HasShares {
				p, err := DecodeKeyShares(a.Shares)
				if err != nil || len(p) != 1 {
					t.Fatal(p, err)
				}
				leases[n], parts[n] = a.LeaseNumber, fromFloat16(a.Minimum)+p[0].Extra
			}
			sum += parts[n]
		}
		if sum > 1+1e-9 {
			t.Fatalf("at %v %.3f is lent: %v", now, sum, parts)
		}
	}
	if l.Contradictions["liar"] == 0 || len(l.Contradictions) != 1 {
		t.Errorf("named: %v", l.Contradictions)
	}
	for _, n := range names {
		if parts[n] < 0.3 || parts[n] > 0.37 {
			t.Errorf("%s has %.3f in the end", n, parts[n])
		}
	}
}
