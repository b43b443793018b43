package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPacked: what goes over the wire and back is never more, and never fresher, than it was; a list of any other size is refused.
func TestPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(11*time.Second)).Draw(t, name))
		}
		part := Part{Key: Key(rapid.Uint32().Draw(t, "key")), Extra: rapid.Float64Range(0, 1).Draw(t, "extra"), Limit: rapid.Float64Range(0, 1e6).Draw(t, "limit"),
			Told: age("told"), State: State(rapid.IntRange(0, 2).Draw(t, "state")), Seen: age("seen"), Wait: age("wait"), Try: rapid.Bool().Draw(t, "try")}
		b := PackParts([]Part{part})
		got, err := UnpackParts(b)
		if err != nil || len(got) != 1 {
			t.Fatal(err, got)
		}
		g := got[0]
		if g.Extra > part.Extra || g.Extra < part.Extra*0.99-1e-30 || g.Limit > part.Limit || g.Told < part.Told || g.Seen < part.Seen || g.Wait < part.Wait ||
			g.State != part.State || g.Try != part.Try || g.Key != part.Key || Round(g.Extra) != g.Extra {
			t.Fatalf("%+v became %+v", part, g)
		}
		cut := rapid.IntRange(1, partSize-1).Draw(t, "cut")
		if _, err := UnpackParts(b[:cut]); err == nil {
			t.Fatal("a list that was cut is taken")
		}
		if needs, err := UnpackNeeds(rapid.SliceOfN(rapid.Byte(), needSize, needSize).Draw(t, "garbled")); err != nil || !(needs[0].Want >= 0 && needs[0].Want < 1e39) ||
			needs[0].State > Down {
			t.Fatalf("garbled needs are read as %+v: %v", needs, err)
		}
	})
}

// TestSplit: whatever relays need, no more than there is is lent, floors are nobody else's, equal needs have equal parts, and where
// all can't have what they need nobody has more than another of the same worth who has less than it needs.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(Rules{Kept: 0.25, Over: 2 * time.Second}, 1, 0)
		n := rapid.IntRange(1, 12).Draw(t, "relays")
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}[:n]
		l.Roster(names)
		wants := rapid.SliceOfN(rapid.Float64Range(0, 200), n, n).Draw(t, "wants")
		limit := rapid.SampledFrom([]float64{0, 1, 100, 1e5}).Draw(t, "limit")
		loans := make([]uint64, n)
		parts := make([]float64, n)
		for round := range 12 {
			now := time.Duration(round) * 200 * time.Millisecond
			sum := 0.0
			for i, name := range names {
				l.Report(now, name, 1, &Report{By: 1, For: 1, No: loans[i], Needs: PackNeeds([]Need{{Key: 7, Want: wants[i], Worth: 1, Limit: limit}})})
			}
			for i, name := range names {
				a := l.Grant(now, now, name)
				if a == nil || a.Tell {
					t.Fatalf("%s is told %+v", name, a)
				}
				if loans[i] = a.No; a.New {
					p, err := UnpackParts(a.Parts)
					if err != nil || len(p) != 1 {
						t.Fatal(p, err)
					}
					parts[i] = wide(a.Floor) + p[0].Extra
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

// TestLateLoan: one that has heard of a newer leader takes nothing any more from the one before, and the newer one lends nothing that
// the other may still lend until it has that word.
func TestLateLoan(t *testing.T) {
	p := &Purse{}
	loan := func(by uint64) *Allotment {
		return &Allotment{By: by, No: 1, New: true, Floor: narrow(0.1), Parts: PackParts([]Part{{Key: 7, Extra: 0.5}})}
	}
	if p.Granted(time.Second, &Allotment{By: 5, Tell: true}) != nil || p.Granted(time.Second, loan(4)) != nil {
		t.Error("it takes a loan of one that led before another of which it has heard")
	}
	if s := p.Granted(time.Second, loan(5)); s == nil || len(s.Parts) != 1 || s.Parts[0].Extra != 0.5 {
		t.Errorf("it does not take one of the newest: %+v", s)
	}
	l := NewLedger(Rules{Kept: 0.25, Over: 2 * time.Second, Serve: true}, 5, 0)
	l.Roster([]string{"a"})
	needs := PackNeeds([]Need{{Key: 7, Want: 1, Worth: 1}})
	l.Report(time.Millisecond, "a", 1, &Report{For: 4, Needs: needs})
	if a := l.Grant(time.Millisecond, time.Millisecond, "a"); !a.Tell || a.New {
		t.Errorf("it lends to one that may yet take a loan of another: %+v", a)
	}
	l.Report(time.Second, "a", 1, &Report{For: 5, Needs: needs})
	if a := l.Grant(time.Second, time.Second, "a"); a.Tell || !a.New {
		t.Errorf("it does not lend: %+v", a)
	}
}

// TestClaims: one that claims to hold what it can't is named, takes nothing from what others truly hold beyond one lease, and gains
// nothing by it.
func TestClaims(t *testing.T) {
	l := NewLedger(Rules{Kept: 0.25, Over: 2 * time.Second}, 9, 0)
	names := []string{"a", "b", "liar"}
	l.Roster(names)
	needs := PackNeeds([]Need{{Key: 7, Want: 50, Worth: 1, Limit: 100}})
	holds := map[string]float64{"a": 0.4, "b": 0.3, "liar": 0.9}
	for _, n := range names {
		l.Report(0, n, 1, &Report{By: 8, No: 3, For: 9, Needs: needs, Floor: narrow(0.08), Holds: PackParts([]Part{{Key: 7, Extra: holds[n]}})})
	}
	loans, parts := map[string]uint64{}, map[string]float64{}
	for now := 100 * time.Millisecond; now < 6*time.Second; now += 200 * time.Millisecond {
		sum := 0.0
		for _, n := range names {
			l.Report(now, n, 1, &Report{By: 9, No: loans[n], For: 9, Needs: needs})
			if a := l.Grant(now, now, n); a != nil && a.New {
				p, err := UnpackParts(a.Parts)
				if err != nil || len(p) != 1 {
					t.Fatal(p, err)
				}
				loans[n], parts[n] = a.No, wide(a.Floor)+p[0].Extra
			}
			sum += parts[n]
		}
		if sum > 1+1e-9 {
			t.Fatalf("at %v %.3f is lent: %v", now, sum, parts)
		}
	}
	if l.Odd["liar"] == 0 || len(l.Odd) != 1 {
		t.Errorf("named: %v", l.Odd)
	}
	for _, n := range names {
		if parts[n] < 0.3 || parts[n] > 0.37 {
			t.Errorf("%s has %.3f in the end", n, parts[n])
		}
	}
}
