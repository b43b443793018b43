package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"mastusher/control"
)

// unhex decodes hexadecimal text that contains white space.
func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Golden frames, the examples of the protocol's documentation.
const (
	emptyBatch = "00000001 0000000000805c5a 00000014 00000000"
	emptyReply = "00000001 0000000c 00000000"
	twoBatch   = `0000000c 0000000000805c5a 00000051 00000005
		0c 0003
		03 00078c6d5d3a91c4 42640000 00002ee0 0001 00000000008405da 91f03b7c55d20a64 0000 00000000
		07 0000004d
		0c 0005
		06 000b2f230e6f2b19`
	twoReply = `0000000c 00000044 00000005
		02 0003
		05 00078c6d5d3a91c4 03124a07 00013880
		01 000000000087fd7a 0000004d
		02 0005
		0b 0011 74776f2073657276657273206b6e6f776e`
	list = `0b 00 00000002 03124a07 0000 0000 0039 00 3f800000 0000000000000000
		2c9011f2 0001 0000 0039 00 3fc00000 00000000005d1420`
	fleet    = "02 00 02 0000000000000029"
	resolved = "05 00078c6d5d3a91c4 00 03124a07 0000 00004844 01 00000000 02 3ecccccd3fa00000"
	stream   = "04 00078c6d5d3a91c4 00002422 00 03124a07"
	echo     = "08 2c9011f2 0000 00000578 02 3ecccccd3fa00000"
	peer     = "09 0002 0004 68692037"
)

// frame returns a batch of n records.
func frame(t testing.TB, n int, records ...string) []byte {
	body := unhex(t, strings.Join(records, ""))
	head := unhex(t, "00000007 0000000000000064 00000000 00000000")
	size := len(head) + len(body)
	head[14], head[15], head[19] = byte(size>>8), byte(size), byte(n)
	return append(head, body...)
}

func TestParseBatch_GoldenFrames_ReadsEachField(t *testing.T) {
	b, err := ParseBatch(unhex(t, emptyBatch))
	if err != nil || b.Seq != 1 || b.Clock != 0x805c5a || len(b.Records) != 0 {
		t.Errorf("empty batch: %+v, %v", b, err)
	}
	b, err = ParseBatch(unhex(t, twoBatch))
	if err != nil || len(b.Records) != 5 {
		t.Fatalf("batch: %+v, %v", b, err)
	}
	q := b.Records[1]
	if q.Ticket != 0x78c6d5d3a91c4 || q.Node != 57 || q.NotAfter != 0x8405da || q.NameKey != 0x91f03b7c55d20a64 ||
		q.Flags != 1 || q.Estimate != 12000 {
		t.Errorf("query: %+v", q)
	}
	if b.Records[2].Nonce != 0x4d || b.Records[3].Instance != 5 || b.Records[4].Ticket != 0xb2f230e6f2b19 {
		t.Errorf("records: %+v", b.Records[2:])
	}
	b, err = ParseBatch(frame(t, 6, list, fleet, resolved, stream, echo, peer))
	if err != nil {
		t.Fatal(err)
	}
	if m := b.Records[0].Members; len(m) != 2 || m[1].Target != 0x2c9011f2 || m[1].Site != 1 || m[1].Destination != 57 ||
		m[1].Units != 1.5 || m[1].ReadyAt != 0x5d1420 {
		t.Errorf("list: %+v", m)
	}
	if f := b.Records[1]; f.Mode != ModeCached || f.Rev != 41 {
		t.Errorf("fleet: %+v", f)
	}
	if r := b.Records[2]; r.WaitTime != 0x4844 || r.Settled != 1 || len(r.Gauge) != 2 || r.Gauge[1] != 1.25 {
		t.Errorf("resolved: %+v", r)
	}
	if p := b.Records[5]; p.Who != 2 || string(p.Msg) != "hi 7" {
		t.Errorf("peer: %+v", p)
	}
}

func TestReply_GoldenFrames_WritesTheirBytes(t *testing.T) {
	var reply Reply
	reply.Begin(1)
	if got := reply.Bytes(); !bytes.Equal(got, unhex(t, emptyReply)) {
		t.Errorf("empty reply: %x", got)
	}
	reply.Begin(12)
	reply.As(3)
	reply.Assign(0x78c6d5d3a91c4, 0x03124a07, 80000)
	reply.Defer(0x87fd7a, 0x4d)
	reply.As(5)
	reply.Log("two servers known")
	if got := reply.Bytes(); !bytes.Equal(got, unhex(t, twoReply)) {
		t.Errorf("reply: %x", got)
	}
	for want, write := range map[string]func(){
		"03 000b2f230e6f2b19 0003d090": func() { reply.Decline(0xb2f230e6f2b19, 250000) },
		"06 01":                        func() { reply.Follow(true) },
		"0d":                           func() { reply.Lookup() },
		"0a 00078c6d5d3a91c4 00":       func() { reply.DropAttempt(0x78c6d5d3a91c4, 0) },
		"07 000b2f230e6f2b19":          func() { reply.DropRequest(0xb2f230e6f2b19) },
		"09 2c9011f2":                  func() { reply.SoundOut(0x2c9011f2) },
		"04 2c9011f2":                  func() { reply.FreeLinks(0x2c9011f2) },
		"0c ffff 0004 68692037":        func() { reply.Tell(0xffff, []byte("hi 7")) },
		"08 0012 696e646578206f7574206f662072616e6765": func() { reply.Exception("index out of range") },
	} {
		reply.Begin(0)
		write()
		if got := reply.Bytes()[replyHeader:]; !bytes.Equal(got, unhex(t, want)) {
			t.Errorf("action is written as %x, want %s", got, want)
		}
	}
}

// TestReadBatch_MalformedFrame_NamesField: the error of a malformed frame names the field and its offset.
func TestReadBatch_MalformedFrame_NamesField(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want []string
	}{
		"short header":      {unhex(t, "00000001 0000"), []string{"header", "offset 6"}},
		"impossible length": {unhex(t, "00000001 0000000000000000 00000003 00000000"), []string{"length", "offset 12"}},
		"truncated frame":   {unhex(t, twoBatch)[:60], []string{"truncated", "offset 60"}},
		"unknown code":      {frame(t, 1, "63"), []string{"record 0", "code 99", "offset 20"}},
		"short record":      {frame(t, 1, "03 0007"), []string{"record 0", "ticket", "offset 21"}},
		"long list":         {frame(t, 1, "0b 00 ffffffff 00"), []string{"members", "offset 26"}},
		"too many records":  {frame(t, 200, peer), []string{"records", "offset 16"}},
		"bytes left over":   {frame(t, 1, peer, "00"), []string{"records", "1 bytes"}},
	} {
		_, _, err := ReadBatch(bytes.NewReader(c.in), nil)
		if err == nil || err == io.EOF {
			t.Errorf("%s: error %v, want one that names the field", name, err)
			continue
		}
		for _, w := range c.want {
			if !strings.Contains(err.Error(), w) {
				t.Errorf("%s: error %q does not contain %q", name, err, w)
			}
		}
	}
	if _, _, err := ReadBatch(bytes.NewReader(nil), nil); err != io.EOF {
		t.Errorf("end of input: error %v, want io.EOF", err)
	}
}

func TestParseSettings_EachKey_ReachesItsSetting(t *testing.T) {
	set, err := ParseSettings([]byte(`{"unheard": 1, "allowed": {"cancel": true, "max_attempts": 8, "max_open": 228,
		"max_retry_after": 2000000, "retry_after": true}, "family_info": {"workers": 12, "kind_apart": [true, false],
		"per_call": [5, 1], "carriage": [0.01, 0.04], "loses_worth": "line"},
		"lanes": [{"name": "a", "aim": 2500000, "deadline": 28000000, "effect": "token", "group": "zone",
		"memory_span": 15000000, "worth": 2.0, "late_worth": 0.5, "sequential": true},
		{"name": "b", "effect": "pure"}, {"name": "c", "effect": "side_effect"}],
		"peers_total": 2, "registry_mode": "subscribe", "report": {"fields": ["x1", "x0"]},
		"rules": {"cold": 14000000, "overload_factor": 2.0, "start_capacity": 0.19, "settle_after_doubt": 700000}}`))
	if err != nil {
		t.Fatal(err)
	}
	a := set.Classes[0]
	if a.Effect != control.Keyed || a.DedupScope != control.DedupPerZone || !a.InOrder || a.DedupWindow != 15*time.Second ||
		set.Classes[1].Effect != control.Safe || set.Classes[2].Effect != control.Unsafe {
		t.Errorf("classes: %+v", set.Classes)
	}
	if !set.MustSubscribe || set.Slots != 12 || set.SlowStart != 14*time.Second || set.InDoubtDelay != 700*time.Millisecond ||
		set.MaxRetryAfter != 2*time.Second || !set.Kinds[0].SeparateRoutes || set.Kinds[0].MaxMessagesPerCall != 5 {
		t.Errorf("settings: %+v", set)
	}
	for source, want := range map[string]float64{"nominal": 4, "rough": 4, "off": 0, "live": 0} {
		w, err := ParseSettings(fmt.Appendf(nil, `{"weight_source": %q, "orgs": [{"name": "north", "quota_per_s": 3}]}`, source))
		if err != nil || w.Weight(4) != want || w.Weight(-1)+w.Weight(0)+w.Weight(math.NaN())+w.Weight(1e9) != 0 {
			t.Errorf("weight_source %s: weight %v, error %v", source, w.Weight(4), err)
		}
		if !slices.Equal(w.TenantNames, []string{"north"}) || w.Tenants[0].Quota != 3 {
			t.Errorf("tenants %v %v", w.TenantNames, w.Tenants)
		}
	}
	rep := set.Reports
	if rep != (Reports{Share: 1, Limit: 0}) {
		t.Errorf("reports: %+v", rep)
	}
	for in, want := range map[string]string{`{"me": `: "offset", `{"lanes": 7}`: "lanes", ``: "offset"} {
		if _, err := ParseSettings([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one that names %q", in, err, want)
		}
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add(unhex(f, emptyBatch))
	f.Add(unhex(f, twoBatch))
	f.Add(frame(f, 6, list, fleet, resolved, stream, echo, peer))
	f.Add(frame(f, 1, "0b 00 ffffffff 00"))
	f.Fuzz(func(t *testing.T, in []byte) {
		b, _, err := ReadBatch(bytes.NewReader(in), nil)
		if err == nil && len(b.Records) > len(in) {
			t.Errorf("%d records parsed from %d bytes", len(b.Records), len(in))
		}
	})
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"lanes": [{"aim": 1e300}], "peers_total": -1}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		if set, err := ParseSettings(in); err == nil {
			if s, err := control.New(set.Settings, 1); err == nil && s == nil {
				t.Error("control.New returns neither a sender nor an error")
			}
		}
	})
}
