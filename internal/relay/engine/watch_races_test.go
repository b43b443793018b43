package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/journal"
)

// watched is a front whose watches the test speaks for, each for itself.
type watched struct {
	*fakeFront
	told chan func(EndpointList)
}

func (w watched) Watch(ctx context.Context, after int64, changed func(EndpointList)) error {
	w.told <- changed
	return w.fakeFront.Watch(ctx, after, changed)
}

// TestWatch_SupersededWatchReportsLate_UndoesNothing: a watch that was superseded still has a list on its way when the next one has spoken. Complete list or not, it must undo nothing;
// before the next one has spoken it counts, since the relay has been told.
func TestWatch_SupersededWatchReportsLate_UndoesNothing(t *testing.T) {
	list := func(index int64, complete bool, state control.State) EndpointList {
		return EndpointList{Index: index, Complete: complete, Destinations: []Destination{{Name: "s-2", Zone: "a", Kind: "club-sites", Partner: 8, State: state}}}
	}
	for _, c := range []struct {
		name          string
		before, after []EndpointList // what the old watch says before the new one speaks, and after that
		want          control.State
	}{
		{"an older whole list", nil, []EndpointList{list(42, true, control.Ready)}, control.Draining},
		{"an older change", nil, []EndpointList{list(42, false, control.Ready)}, control.Draining},
		{"a later one, of a discovery that was left", nil, []EndpointList{list(99, false, control.Ready)}, control.Draining},
		{"a change before the new watch speaks", []EndpointList{list(44, false, control.Ready), list(45, false, control.Draining)}, nil, control.Draining},
	} {
		t.Run(c.name, func(t *testing.T) {
			front := watched{nil, make(chan func(EndpointList), 9)}
			r := newHarness(t, t.TempDir(), time.Now(), func(core *Core) {
				f := core.frontsInOrder[0]
				front.fakeFront = f.Front.(*fakeFront)
				f.Front = front
			})
			old := <-front.told
			r.turnAfter(0, moved{"platform"})
			next := <-front.told
			say := func(to func(EndpointList), all []EndpointList) {
				for _, p := range all {
					to(p)
					r.turnAfter(0, r.core.drainQueue(nil)...)
				}
			}
			say(old, c.before)
			if len(c.after) > 0 {
				say(next, []EndpointList{list(43, false, control.Draining)})
			}
			say(old, c.after)
			f := r.core.frontsInOrder[0]
			if got := r.core.destinations[f.listed["s-2"]].State; got != c.want {
				t.Errorf("s-2 is in state %v, want %v", got, c.want)
			}
			if say(next, []EndpointList{list(46, false, control.Removed)}); r.core.destinations[f.listed["s-2"]].State != control.Removed {
				t.Error("what the new watch tells is not heard any more")
			}
		})
	}
}

// TestWatch_Lost_ReopenedByItsCause: when a watch that has ended is opened again depends on what ended it, and on nothing that the module must be asked for
// where what the relay misses counts as told soon.
func TestWatch_Lost_ReopenedByItsCause(t *testing.T) {
	broke := errors.New("reset")
	for _, c := range []struct {
		name string
		ask  bool
		told bool // it had told a list
		err  error
		want time.Duration // below 0: the module is asked
	}{
		{"asked for, silent", true, true, ErrWatchTimeout, 200 * time.Millisecond},
		{"pushed, silent", false, true, ErrWatchTimeout, 200 * time.Millisecond},
		{"asked for, broken", true, true, broke, -1},
		{"asked for, never up", true, false, broke, -1},
		{"pushed, broken", false, true, broke, 0},
		{"pushed, never up", false, false, broke, 50 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, t.TempDir(), time.Now())
			<-r.front.watches
			r.core.settings.MustSubscribe, r.core.settings.Peers, r.core.settings.Index = c.ask, 4, 1
			r.core.limits.WatchSpread, r.core.limits.WatchRetry = 800*time.Millisecond, 50*time.Millisecond
			f := r.core.frontsInOrder[0]
			if c.told {
				r.turnAfter(0, listChanged{f, f.lastWatch, EndpointList{Index: 43}})
			}
			watchEnded{f, f.lastWatch, c.err}.apply(r.core, r.now)
			asked := len(r.core.moduleEvents) == 1 && r.core.moduleEvents[0].Kind == control.ListFailed
			if got := r.core.watchAt.Sub(r.now); asked != (c.want < 0) || !asked && got != c.want {
				t.Errorf("opened again after %v, the module is asked %v", got, asked)
			}
		})
	}
}

// TestRestore_ClockSetBack_NarrowerTimesCount: the clock was set back while the relay was down. Times in the journal that lie in what is now the future count on the
// narrower side.
func TestRestore_ClockSetBack_NarrowerTimesCount(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	log, err := journal.Open(dir, 3<<20)
	if err != nil {
		t.Fatal(err)
	}
	for i, id := range []string{"keyed", "safe", "of a class that is gone"} {
		e := &journal.Entry{ID: id, Front: "platform", Destination: 7 + i%2, Class: i + i/2*7, Deadline: now.Add(16 * time.Second)}
		_ = log.Accept(e)
		_ = log.Flush()
		if id == "keyed" {
			log.Schedule(e, now, "s-1")
			log.Begin([]*journal.Entry{e})
			log.EndAttempt(e, false)
		}
	}
	_ = log.Close()
	r := newHarness(t, dir, now.Add(-time.Hour))
	// The keyed one may be handed back: its partner's endpoints all know its key, whatever the time is.
	if n := <-r.front.notices; len(n) != 2 || n[0].ID != "of a class that is gone" || n[0].HandedBack || n[1].ID != "keyed" {
		t.Errorf("notices %+v", n)
	}
	step := <-r.front.steps
	if step.Items[0].ID != "safe" || len(r.front.steps) != 0 {
		t.Errorf("%q goes out, and %d more: want the safe one alone", step.Items[0].ID, len(r.front.steps))
	}
	for _, m := range r.core.messages {
		if k := &r.core.settings.Classes[min(m.entry.Class, 1)]; m.entry.Deadline.After(r.now.Add(k.Deadline)) && !m.entry.NoticePending {
			t.Errorf("%s has time until %v, more than its class gives", m.entry.ID, m.entry.Deadline)
		}
	}
}

// TestSubmit_IDEndedWithNotice_RepeatsThatEnd: an id that comes again when its message has ended with a notice is told that end, before the notice was taken and after:
// its client may never have heard that it was taken on, and would wait for another.
func TestSubmit_IDEndedWithNotice_RepeatsThatEnd(t *testing.T) {
	r := newHarness(t, t.TempDir(), time.Now())
	r.core.limits.EndedRetention, r.core.limits.MaxEnded = 5*time.Second, 9
	a, first := r.arrival("m", 0, 8, 10*time.Second)
	r.turnAfter(0, a)
	<-first
	<-r.front.steps
	r.answer(Outcome{Result: control.Rejected})
	for _, taken := range []bool{false, true} {
		if taken {
			r.front.taken <- true
			r.turnAfter(5*time.Millisecond, <-r.core.queue)
		}
		b, second := r.arrival("m", 0, 8, 10*time.Second)
		r.turnAfter(5*time.Millisecond, b)
		if got := <-second; got.Verdict != Failed || len(r.front.steps) != 0 {
			t.Errorf("given up, notice taken %v: the same id is answered %+v", taken, got)
		}
	}
}

// TestSubmit_IDEndedLately_IsNoNewMessage: an id that comes again right after its message has ended is no new message, whatever the end was; after a while it is.
func TestSubmit_IDEndedLately_IsNoNewMessage(t *testing.T) {
	for _, outcome := range []Outcome{{Result: control.Delivered}, {Result: control.NotProcessed, Final: true}} {
		r := newHarness(t, t.TempDir(), time.Now())
		r.core.limits.EndedRetention, r.core.limits.MaxEnded = 5*time.Second, 2
		a, first := r.arrival("m", 0, 8, 10*time.Second)
		r.turnAfter(0, a)
		<-first
		<-r.front.steps
		r.answer(outcome)
		again := func(after time.Duration) bool {
			b, second := r.arrival("m", 0, 8, 10*time.Second)
			b.submittedAt = r.now.Add(after)
			r.turnAfter(after, b)
			return (<-second).Verdict == Accepted && len(r.core.messages) == 0
		}
		if !again(time.Second) || len(r.front.steps) != 0 {
			t.Errorf("after %v the same id is a new message", outcome)
		}
		r.core.remember(&message{front: r.core.frontsInOrder[0], entry: &journal.Entry{ID: "other"}}, Accepted, r.now.Add(6*time.Second))
		if again(time.Second) {
			t.Error("ids are kept for good")
		}
		if n := len(r.core.endings.oldestFirst); n != 1 || len(r.core.endings.verdicts) != 1 {
			t.Errorf("%d ids are kept", n)
		}
	}
}
