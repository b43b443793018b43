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

// minProcessorShare is the smallest share of a core that a controller is known to run on.
const minProcessorShare = 0.176

// maxTurn is the time that a turn may take around an order, as the processor counts it: a quarter of the election time-out at
// that share.
const maxTurn = time.Duration(minProcessorShare * float64(electionTimeout) / 4)

// largeOrder is an order of a configuration with so many routes, padded to a length.
func largeOrder(base uint64, routes, bytes int) *configuration.Proposal {
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

// textNetwork is a group of controllers' members whose messages go as text between them. Only turns and the writing of messages
// are measured; a connection reads them in a goroutine of its own.
type textNetwork struct {
	t       testing.TB
	members map[string]*group.Group
	sent    []textMessage
	now     time.Duration
}

type textMessage struct {
	address string
	text    []byte
}

func newTextNetwork(t testing.TB, names ...string) *textNetwork {
	l := &textNetwork{t: t, members: map[string]*group.Group{}}
	var initial []replica.Member
	for _, name := range names {
		initial = append(initial, replica.Member{ID: name + "-id", Address: name})
	}
	for i, name := range names {
		opened, err := group.Open(group.Options{Name: GroupName, Disk: memorydisk.New(), StateMachine: NewStateMachine(func() {}), Logger: log.NewNopLogger(),
			Clock: func() time.Duration { return l.now }, Send: l.send,
			Replica: replica.Options{ID: name + "-id", Address: name, InitialMembers: initial, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, InitialElectionTimeout: initialElectionTimeout, Seed: uint64(i)}})
		if err != nil {
			t.Fatal(err)
		}
		l.members[name] = opened
	}
	return l
}

func (l *textNetwork) send(address string, envelope group.Envelope) {
	text, err := envelope.AppendJSON(nil)
	if err != nil {
		l.t.Error(err)
	}
	l.sent = append(l.sent, textMessage{address, text})
}

// step delivers what was sent, gives each member a turn and returns the longest.
func (l *textNetwork) step() (longest time.Duration) {
	l.now += 5 * time.Millisecond
	sent := l.sent
	l.sent = nil
	for _, s := range sent {
		var envelope group.Envelope
		if err := json.Unmarshal(s.text, &envelope); err != nil {
			l.t.Fatal(err)
		}
		l.members[s.address].Deliver(envelope.Message)
	}
	for _, member := range l.members {
		began := processorTime(l.t)
		if _, err := member.RunOnce(); err != nil {
			l.t.Fatal(err)
		}
		longest = max(longest, processorTime(l.t)-began)
	}
	return longest
}

// processorTime is what the thread of the calling goroutine, which is bound to it, has used of its processor: unlike time it
// doesn't grow while others have the processor.
func processorTime(t testing.TB) time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_THREAD, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

func (l *textNetwork) leader() *group.Group {
	for range 1000 {
		for _, member := range l.members {
			if member.Status().IsLeader {
				return member
			}
		}
		l.step()
	}
	l.t.Fatal("no leader")
	return nil
}

// take has an order committed on all members, and returns the longest turn meanwhile.
func (l *textNetwork) take(order *configuration.Proposal) (longest time.Duration) {
	done := false
	l.leader().ProposeAsync(Command{Configuration: order}, func(result any, err error) {
		if err != nil || result != configuration.Accepted {
			l.t.Errorf("order on %d: %v, %v", order.Base, result, err)
		}
		done = true
	})
	for range 40 {
		longest = max(longest, l.step())
	}
	if !done {
		l.t.Fatal("the order has no outcome")
	}
	return longest
}

// Given an order of many routes, then no member's turn around it takes a quarter of the election time-out on the smallest
// machine, and the leader stays the same. The shortest of some attempts counts, since the collector may work in any of them.
func TestLargeConfiguration_HeartbeatsNotDelayed(t *testing.T) {
	const attempts = 5
	for _, routes := range []int{517, 2000} {
		t.Run(fmt.Sprintf("%d routes", routes), func(t *testing.T) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			l := newTextNetwork(t, "a", "b", "c", "d", "e")
			leader := l.leader()
			term := leader.Status().Term
			shortest := time.Hour
			for attempt := range uint64(attempts) {
				shortest = min(shortest, l.take(largeOrder(attempt, routes, 0)))
			}
			if shortest > maxTurn {
				t.Errorf("a turn takes %v, over %v", shortest, maxTurn)
			}
			if status := leader.Status(); !status.IsLeader || status.Term != term {
				t.Errorf("the leader of term %d is lost in term %d", term, status.Term)
			}
			t.Logf("longest turn %v", shortest)
		})
	}
}

// The entry is read back as it was written, and in any other form that JSON allows.
func TestCommand_EncodeDecode_SameProposal(t *testing.T) {
	order := &configuration.Proposal{Base: 3, Number: 18446744073709551615, Raw: json.RawMessage(`{"a":"}}","raw":{"b":[1]}}`)}
	written, err := Command{Configuration: order}.EncodeJSON()
	if err != nil {
		t.Fatal(err)
	}
	library, err := json.Marshal(Command{Configuration: order})
	if err != nil || string(library) != string(written) {
		t.Fatalf("written %s, the library writes %s, %v", written, library, err)
	}
	spaced := strings.ReplaceAll(string(written), `{"configure":`, `{ "configure" : `)
	for _, raw := range []string{string(written), spaced} {
		read, err := decodeCommand(json.RawMessage(raw))
		if err != nil || read.Configuration == nil || read.Configuration.Base != order.Base || read.Configuration.Number != order.Number || string(read.Configuration.Raw) != string(order.Raw) {
			t.Errorf("%s is read as %+v, %v", raw, read.Configuration, err)
		}
	}
	for _, raw := range []string{`{"configure":{"base":x,"number":1,"raw":{}}}`, `{"configure":{"base":1,"number":1,"raw":}}`, `{"configure":{"base":1`} {
		if _, err := decodeCommand(json.RawMessage(raw)); err == nil {
			t.Errorf("%s is read", raw)
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, size := range []struct{ routes, bytes int }{{517, 0}, {700, 0}, {2000, 0}, {2000, 4 << 20}} {
		b.Run(fmt.Sprintf("%d routes, %d bytes at least", size.routes, size.bytes), func(b *testing.B) {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			l := newTextNetwork(b, "a", "b", "c", "d", "e")
			longest, number := time.Duration(0), uint64(0)
			for b.Loop() {
				longest = max(longest, l.take(largeOrder(number, size.routes, size.bytes)))
				number++
			}
			b.ReportMetric(longest.Seconds()*1000, "longest-turn-ms")
		})
	}
}
