package controller

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
)

// minCPUShare is the smallest share of a CPU core that a controller is known to run on.
const minCPUShare = 0.176

// maxIterationTime is the CPU time that an iteration of a group may take while a configuration is being committed: a quarter of the
// election time-out at minCPUShare.
const maxIterationTime = time.Duration(minCPUShare * float64(electionTimeout) / 4)

// largeProposal returns a proposal of a configuration with that number of routes, padded to at least that many bytes.
func largeProposal(base uint64, routes, bytes int) *configuration.Proposal {
	written := make([]string, routes)
	for i := range written {
		written[i] = fmt.Sprintf(`{"name":"r-%d","host":"play.example","startsWith":"/p%d/","kind":"streaming",`+
			`"giveUpMs":5000,"targetMs":200,"rank":1,"service":"lm","tries":1,"remembered":true,"keepForS":60.0,"pinned":true}`, i, i)
	}
	raw := fmt.Sprintf(`{"number":%d,"routes":[%s],"services":[{"name":"lm"}],"note":""}`, base+1, strings.Join(written, ","))
	if missing := bytes - len(raw); missing > 0 {
		raw = raw[:len(raw)-2] + strings.Repeat("x", missing) + raw[len(raw)-2:]
	}
	return &configuration.Proposal{Base: base, Number: base + 1, Raw: json.RawMessage(raw)}
}

// encodingNetwork connects the members of a group by encoded messages. The measured CPU time is that of the members' iterations, which
// includes encoding messages, but not decoding them: a real connection does that in a goroutine of its own.
type encodingNetwork struct {
	t       testing.TB
	members map[string]*group.Group
	sent    []encodedMessage
	now     time.Duration
}

type encodedMessage struct {
	address string
	data    []byte
}

func newEncodingNetwork(t testing.TB, names ...string) *encodingNetwork {
	n := &encodingNetwork{t: t, members: map[string]*group.Group{}}
	var initial []replica.Member
	for _, name := range names {
		initial = append(initial, replica.Member{ID: name + "-id", Address: name})
	}
	for i, name := range names {
		opened, err := group.Open(group.Options{Name: GroupName, Disk: memorydisk.New(), StateMachine: NewStateMachine(func() {}), Logger: log.NewNopLogger(),
			Clock: func() time.Duration { return n.now }, Send: n.send,
			Replica: replica.Options{ID: name + "-id", Address: name, InitialMembers: initial, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, InitialElectionTimeout: initialElectionTimeout, Seed: uint64(i)}})
		if err != nil {
			t.Fatal(err)
		}
		n.members[name] = opened
	}
	return n
}

func (n *encodingNetwork) send(address string, envelope group.Envelope) {
	data, err := envelope.AppendJSON(nil)
	if err != nil {
		n.t.Error(err)
	}
	n.sent = append(n.sent, encodedMessage{address, data})
}

// step delivers the sent messages, runs one iteration of each member and returns the longest CPU time of one.
func (n *encodingNetwork) step() (longest time.Duration) {
	n.now += 5 * time.Millisecond
	sent := n.sent
	n.sent = nil
	for _, s := range sent {
		var envelope group.Envelope
		if err := json.Unmarshal(s.data, &envelope); err != nil {
			n.t.Fatal(err)
		}
		n.members[s.address].Deliver(envelope.Message)
	}
	for _, member := range n.members {
		began := cpuTime(n.t)
		if _, err := member.RunOnce(); err != nil {
			n.t.Fatal(err)
		}
		longest = max(longest, cpuTime(n.t)-began)
	}
	return longest
}

// cpuTime returns the CPU time of the current thread, to which the calling goroutine is locked. Unlike wall time, it doesn't
// grow while other threads use the CPU.
func cpuTime(t testing.TB) time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

func (n *encodingNetwork) leader() *group.Group {
	for range 1000 {
		for _, member := range n.members {
			if member.Status().IsLeader {
				return member
			}
		}
		n.step()
	}
	n.t.Fatal("no leader")
	return nil
}

// commit commits a proposal on all members, and returns the longest CPU time of an iteration meanwhile.
func (n *encodingNetwork) commit(proposal *configuration.Proposal) (longest time.Duration) {
	done := false
	n.leader().ProposeAsync(Command{Configuration: proposal}, func(result any, err error) {
		if err != nil || result != configuration.Accepted {
			n.t.Errorf("proposal on version %d: result %v, error %v", proposal.Base, result, err)
		}
		done = true
	})
	for range 40 {
		longest = max(longest, n.step())
	}
	if !done {
		n.t.Fatal("the proposal was not committed")
	}
	return longest
}

// TestLargeConfiguration_HeartbeatsNotDelayed commits configurations with many routes. No iteration of a member may take more than a
// quarter of the election time-out on the smallest machine, and the leader must stay the same. The best of several attempts counts,
// since the garbage collector may run in any of them.
func TestLargeConfiguration_HeartbeatsNotDelayed(t *testing.T) {
	const attempts = 5
	for _, routes := range []int{517, 2000} {
		t.Run(fmt.Sprintf("%d routes", routes), func(t *testing.T) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			n := newEncodingNetwork(t, "a", "b", "c", "d", "e")
			leader := n.leader()
			term := leader.Status().Term
			shortest := time.Hour
			for attempt := range uint64(attempts) {
				shortest = min(shortest, n.commit(largeProposal(attempt, routes, 0)))
			}
			if shortest > maxIterationTime {
				t.Errorf("an iteration takes %v of CPU time, want %v at most", shortest, maxIterationTime)
			}
			if status := leader.Status(); !status.IsLeader || status.Term != term {
				t.Errorf("the leader of term %d lost its leadership; the term is %d", term, status.Term)
			}
			t.Logf("longest iteration %v", shortest)
		})
	}
}

// TestCommand_EncodeDecode_SameProposal decodes an entry as EncodeJSON writes it, and in another form of the same JSON.
func TestCommand_EncodeDecode_SameProposal(t *testing.T) {
	proposal := &configuration.Proposal{Base: 3, Number: 18446744073709551615, Raw: json.RawMessage(`{"a":"}}","raw":{"b":[1]}}`)}
	written, err := Command{Configuration: proposal}.EncodeJSON()
	if err != nil {
		t.Fatal(err)
	}
	standard, err := json.Marshal(Command{Configuration: proposal})
	if err != nil || string(standard) != string(written) {
		t.Fatalf("EncodeJSON writes %s, encoding/json %s (error %v)", written, standard, err)
	}
	spaced := strings.ReplaceAll(string(written), `{"configure":`, `{ "configure" : `)
	for _, raw := range []string{string(written), spaced} {
		read, err := decodeCommand(json.RawMessage(raw))
		if err != nil || read.Configuration == nil || read.Configuration.Base != proposal.Base || read.Configuration.Number != proposal.Number || string(read.Configuration.Raw) != string(proposal.Raw) {
			t.Errorf("%s is decoded as %+v, error %v", raw, read.Configuration, err)
		}
	}
	for _, raw := range []string{`{"configure":{"base":x,"number":1,"raw":{}}}`, `{"configure":{"base":1,"number":1,"raw":}}`, `{"configure":{"base":1`} {
		if _, err := decodeCommand(json.RawMessage(raw)); err == nil {
			t.Errorf("%s is decoded, want an error", raw)
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, size := range []struct{ routes, bytes int }{{517, 0}, {700, 0}, {2000, 0}, {2000, 4 << 20}} {
		b.Run(fmt.Sprintf("%d routes, %d bytes at least", size.routes, size.bytes), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			n := newEncodingNetwork(b, "a", "b", "c", "d", "e")
			longest, number := time.Duration(0), uint64(0)
			for b.Loop() {
				longest = max(longest, n.commit(largeProposal(number, size.routes, size.bytes)))
				number++
			}
			b.ReportMetric(longest.Seconds()*1000, "longest-turn-ms")
		})
	}
}
