package configuration_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/configuration"
)

func proposal(base, number uint64, content string) *configuration.Proposal {
	return &configuration.Proposal{Base: base, Number: number, Raw: json.RawMessage(fmt.Sprintf(`{"number":%d,"x":%q}`, number, content))}
}

func TestStateMachine_Apply(t *testing.T) {
	first, second := proposal(0, 3, "first"), proposal(3, 7, "second")
	tests := []struct {
		name    string
		given   []*configuration.Proposal
		applied *configuration.Proposal
		want    configuration.Result
		now     uint64 // current number afterwards
	}{
		{"the first proposal", nil, first, configuration.Accepted, 3},
		{"on the current version", []*configuration.Proposal{first}, second, configuration.Accepted, 7},
		{"a duplicate", []*configuration.Proposal{first}, first, configuration.Accepted, 3},
		{"a duplicate after another was accepted", []*configuration.Proposal{first, second}, first, configuration.Accepted, 7},
		{"the same number with other content", []*configuration.Proposal{first}, proposal(0, 3, "other"), configuration.Conflict, 3},
		{"the same content on another version", []*configuration.Proposal{first}, proposal(3, 3, "first"), configuration.NotNewer, 3},
		{"on an older version", []*configuration.Proposal{first, second}, proposal(3, 9, "late"), configuration.Conflict, 7},
		{"on a version that never existed", []*configuration.Proposal{first}, proposal(4, 9, "lost"), configuration.Conflict, 3},
		{"a duplicate of one that was rejected before its base version existed", []*configuration.Proposal{proposal(3, 7, "early"), first}, proposal(3, 7, "early"), configuration.Conflict, 3},
		{"other content than the one rejected before its base version existed", []*configuration.Proposal{proposal(3, 7, "early"), first}, second, configuration.Accepted, 7},
		{"the same number on another base", []*configuration.Proposal{first, second}, proposal(3, 7, "other"), configuration.Conflict, 7},
		{"with a lower number", []*configuration.Proposal{first, second}, proposal(7, 5, "back"), configuration.NotNewer, 7},
		{"the first proposal, with number 0", nil, proposal(0, 0, "nothing"), configuration.NotNewer, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := configuration.New()
			for i, given := range test.given {
				r.Apply(uint64(i+1), given)
			}
			if got := r.Apply(10, test.applied); got != test.want {
				t.Errorf("result %s, want %s", got, test.want)
			}
			if got := r.Current().Number; got != test.now {
				t.Errorf("current number %d, want %d", got, test.now)
			}
		})
	}
}

// reference is a model of the state machine that keeps all proposals and compares them completely.
type reference struct {
	current  *configuration.Proposal
	index    uint64
	accepted []*configuration.Proposal
	rejected []*configuration.Proposal // on a version that did not exist yet
}

func (r *reference) number() uint64 {
	if r.current == nil {
		return 0
	}
	return r.current.Number
}

func (r *reference) wasAccepted(p *configuration.Proposal) bool { return contains(r.accepted, p) }

func contains(list []*configuration.Proposal, p *configuration.Proposal) bool {
	for _, t := range list {
		if cmp.Equal(t, p) {
			return true
		}
	}
	return false
}

func (r *reference) apply(index uint64, p *configuration.Proposal) configuration.Result {
	switch {
	case r.wasAccepted(p):
		return configuration.Accepted
	case p.Base != r.number():
		if p.Base > r.number() {
			r.rejected = append(r.rejected, p)
		}
		return configuration.Conflict
	case p.Number <= r.number():
		return configuration.NotNewer
	case contains(r.rejected, p):
		return configuration.Conflict
	}
	r.current, r.index = p, index
	r.accepted = append(r.accepted, p)
	return configuration.Accepted
}

// TestStateMachine_RandomProposals_AgreesWithReference applies random proposals, including duplicates, with snapshots in between. The
// results and the current version must equal the reference's, and each version must have one successor at most.
func TestStateMachine_RandomProposals_AgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine, want := configuration.New(), &reference{}
		var sent []*configuration.Proposal
		successors := map[uint64]string{} // content of the proposal accepted on each version
		for index := range uint64(rapid.IntRange(1, 40).Draw(t, "proposals")) {
			var p *configuration.Proposal
			if len(sent) > 0 && rapid.Bool().Draw(t, "duplicate") {
				p = rapid.SampledFrom(sent).Draw(t, "which")
			} else {
				base := rapid.SampledFrom([]uint64{want.number(), rapid.Uint64Range(0, 12).Draw(t, "base")}).Draw(t, "on")
				p = proposal(base, rapid.Uint64Range(0, 12).Draw(t, "number"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "content"))
				sent = append(sent, p)
			}
			known := machine.WasAccepted(p)
			result := machine.Apply(index+1, p)
			if known && result != configuration.Accepted {
				t.Fatalf("the result of a duplicate of an accepted proposal is %s", result)
			}
			if expected := want.apply(index+1, p); result != expected {
				t.Fatalf("the result of proposal %+v is %s, want %s", p, result, expected)
			}
			if result == configuration.Accepted {
				if other, ok := successors[p.Base]; ok && other != string(p.Raw) {
					t.Fatalf("two different proposals on version %d were accepted", p.Base)
				}
				successors[p.Base] = string(p.Raw)
			}
			if current := machine.Current(); current.Number != want.number() || current.Index != want.index {
				t.Fatalf("current %d of entry %d, want %d of entry %d", current.Number, current.Index, want.number(), want.index)
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				machine = restored(t, machine)
			}
		}
	})
}

// restored returns the state machine after its snapshot has been encoded, decoded and restored.
func restored(t rapid.TB, r *configuration.StateMachine) *configuration.StateMachine {
	raw, err := json.Marshal(r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var state configuration.Snapshot
	if err = json.Unmarshal(raw, &state); err != nil {
		t.Fatal(err)
	}
	restored, err := configuration.Restore(state)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// TestHistory_BeyondBound_TruncatesOldest checks that only the oldest proposals are truncated, that a duplicate of a truncated one is
// not rejected, and the size of the remaining history.
func TestHistory_BeyondBound_TruncatesOldest(t *testing.T) {
	const (
		bound      = 32768
		entryBytes = 17 // if each number is one higher than the one before
	)
	r := configuration.New()
	for number := uint64(1); number <= bound+1; number++ {
		if got := r.Apply(number, proposal(number-1, number, "x")); got != configuration.Accepted {
			t.Fatalf("the result of proposal %d is %s", number, got)
		}
	}
	for _, known := range []*configuration.StateMachine{r, restored(t, r)} {
		if !known.WasAccepted(proposal(1, 2, "x")) || known.WasAccepted(proposal(0, 1, "x")) {
			t.Error("not exactly the oldest proposal was truncated")
		}
		if got := known.Apply(bound+2, proposal(0, 1, "x")); got != configuration.HistoryTruncated {
			t.Errorf("the result of a proposal that may have been accepted is %s", got)
		}
		if got := known.Apply(bound+3, proposal(1, 2, "y")); got != configuration.Conflict {
			t.Errorf("the result of a proposal on a version that has been replaced is %s", got)
		}
	}
	if got := len(r.Snapshot().History); got != bound*entryBytes {
		t.Errorf("the history takes %d bytes, want %d", got, bound*entryBytes)
	}
}

// TestStateMachine_DuplicatesAfterManyChanges_Acknowledged applies 1,000 proposals whose numbers grow in uneven steps, restores a
// snapshot, and applies each of them again.
func TestStateMachine_DuplicatesAfterManyChanges_Acknowledged(t *testing.T) {
	const changes = 1000
	r := configuration.New()
	var sent []*configuration.Proposal
	for i := range uint64(changes) {
		p := proposal(r.Current().Number, r.Current().Number+1+i*i%97, fmt.Sprint(i))
		if got := r.Apply(i+1, p); got != configuration.Accepted {
			t.Fatalf("the result of proposal %d is %s", i, got)
		}
		sent = append(sent, p)
	}
	r = restored(t, r)
	now := r.Current()
	for i, p := range sent {
		if got := r.Apply(changes+1, p); got != configuration.Accepted {
			t.Errorf("the result of a duplicate of proposal %d is %s", i, got)
		}
		other := *p
		other.Raw = json.RawMessage(`"other"`)
		if got := r.Apply(changes+1, &other); got != configuration.Conflict {
			t.Errorf("the result of another proposal with the base and number of proposal %d is %s", i, got)
		}
	}
	if diff := cmp.Diff(now, r.Current()); diff != "" {
		t.Errorf("duplicates changed the configuration (-before +after):\n%s", diff)
	}
	raw, err := json.Marshal(r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	const maxBytes = 32 << 10
	if len(raw) > maxBytes {
		t.Errorf("a snapshot after %d changes takes %d bytes, more than %d", changes, len(raw), maxBytes)
	}
	t.Logf("a snapshot after %d changes takes %d bytes", changes, len(raw))
}

// TestRejections_BeyondBound_DropsOldest applies many proposals before their base versions exist. The rejections of the newest ones are
// kept until their base versions are replaced.
func TestRejections_BeyondBound_DropsOldest(t *testing.T) {
	const bound = 64
	r := configuration.New()
	for i := range uint64(3 * bound) {
		r.Apply(i+1, proposal(5+i%2, 90, fmt.Sprint(i)))
	}
	if got := len(r.Snapshot().Rejected); got != bound {
		t.Errorf("got %d rejections, want %d", got, bound)
	}
	last := proposal(5+(3*bound-1)%2, 90, fmt.Sprint(3*bound-1))
	r.Apply(500, proposal(0, last.Base, "now"))
	if got := restored(t, r).Apply(501, last); got != configuration.Conflict {
		t.Errorf("the result of a duplicate of a rejected proposal is %s", got)
	}
	r.Apply(502, proposal(last.Base, 91, "next"))
	if got := r.Snapshot().Rejected; len(got) > 0 {
		t.Errorf("%d rejections on replaced versions are still kept", len(got))
	}
}

// TestRestore_TruncatedHistory_Fails checks that a truncated history is reported.
func TestRestore_TruncatedHistory_Fails(t *testing.T) {
	r := configuration.New()
	r.Apply(1, proposal(0, 3, "x"))
	state := r.Snapshot()
	for size := 1; size < len(state.History); size++ {
		if _, err := configuration.Restore(configuration.Snapshot{History: state.History[:size]}); !errors.Is(err, configuration.ErrCorruptHistory) {
			t.Errorf("a history cut after %d bytes: error %v, want %v", size, err, configuration.ErrCorruptHistory)
		}
	}
}
