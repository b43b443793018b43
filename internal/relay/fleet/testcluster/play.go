package testcluster

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/policy"
	"mastusher/internal/relay/standin"
)

// Result is how a scenario went.
type Result struct {
	Scenario Scenario
	Begun    time.Time
	Breach   *checker.BreachError
	Stuck    string // what did not come about although all was well again
	History  []checker.Entry
	Struck   map[string]int // faults that were done while a change was under way
	Changes  int
	Held     int // of them in force
	Taken    int
	Calls    int
	Answers  *hdrhistogram.Histogram // times of answers to clients, in µs
	Formed   time.Duration           // from the start of all processes until all act
	Took     []time.Duration         // from the handing in of changes that took hold until their end was heard of
	Bytes    int64                   // between relays
	Counted  int                     // messages that the fleet says it has taken on
	Stale    int                     // acts under an older version than another relay had acted under
	StaleFor time.Duration           // for how long after that at most
}

// Bad tells whether something is wrong.
func (r *Result) Bad() bool { return r.Breach != nil || r.Stuck != "" }

func (r *Result) String() string {
	s := fmt.Sprintf("%s: %d of %d changes in force, %d messages taken on, %d calls", r.Scenario.Name, r.Held, r.Changes, r.Taken, r.Calls)
	switch {
	case r.Breach != nil:
		return fmt.Sprintf("%s: %v (seed %d)", s, r.Breach, r.Scenario.Seed)
	case r.Stuck != "":
		return fmt.Sprintf("%s: stuck: %s (seed %d)", s, r.Stuck, r.Scenario.Seed)
	}
	if r.Stale > 0 {
		s += fmt.Sprintf(", %d of them under an older policy than others acted under, for %v at most", r.Stale, r.StaleFor.Round(time.Millisecond))
	}
	return s + ": no breach"
}

const stamped = `{"format":1,"stamp":true}`

// patience bounds all waiting for what must come about; on a machine that is busy it takes longer, and nothing is judged by it
// but that it never comes.
const patience = 60 * time.Second

// Play runs a scenario in a folder and judges what was seen.
func Play(plan Scenario, binary, dir string, progress io.Writer) (*Result, error) {
	f, err := New(plan, binary, dir)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	res := &Result{Scenario: plan, Begun: f.begun, Struck: f.Struck, Answers: hdrhistogram.New(1, 60e6, 3)}
	begun := time.Now()
	for _, r := range f.Relays {
		if err := f.Start(r); err != nil {
			return nil, err
		}
	}
	switch status, err := f.Ask(f.Relays[0], node.AdminRequest{Op: "found"}, patience); {
	case err != nil:
		return nil, fmt.Errorf("bootstrapping the fleet: %w", err)
	case status.Error != "":
		return nil, fmt.Errorf("bootstrapping the fleet: %s answers %q", f.Relays[0].Name, status.Error)
	}
	if !f.Await(patience, func() bool { return f.Act(0) }) {
		res.Stuck = "not all relays act after the fleet was founded" + f.standing()
		return res, nil
	}
	res.Formed = time.Since(begun)
	if ok := f.Await(patience, func() bool { return f.voters() == plan.Voters }); !ok {
		res.Stuck = "not all voters have a say" + f.standing()
		return res, nil
	}
	f.begin(stamped)    // so that all calls tell their version from here on
	if plan.Share > 0 { // until then nobody knows of a limit
		f.sharedAt = f.now() + 2*plan.Lease
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	taken := atomic.Int64{}
	for _, r := range f.Relays {
		clients.Go(func() { f.client(r, stop, &taken, res) })
	}
	f.settle()
	for i := range plan.Steps {
		st := &plan.Steps[i]
		time.Sleep(st.After)
		if progress != nil {
			fmt.Fprintf(progress, "%8v  %s %s %s\n", f.now().Round(time.Millisecond), st.Do, st.Relay, st.Phase)
		}
		if err := f.do(st); err != nil {
			close(stop)
			clients.Wait()
			return nil, err
		}
	}
	res.Stuck = f.recover()
	time.Sleep(100 * time.Millisecond)
	close(stop)
	clients.Wait()
	if res.Stuck == "" && !f.Await(patience, f.ended) {
		res.Stuck = "messages that were taken on have no end"
	}
	res.Taken = int(taken.Load())
	if res.Stuck == "" && plan.Share > 0 {
		res.Stuck = f.counted(res)
	}
	f.judge(res)
	return res, nil
}

// client hands messages in at a relay, at times that don't wait for answers.
func (f *Fleet) client(r *Relay, stop chan struct{}, taken *atomic.Int64, res *Result) {
	rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(r.No)+100))
	client := standin.NewClient(r.Front)
	defer client.Close()
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(min(time.Duration(rng.ExpFloat64()*float64(time.Second)/max(math.Float64frombits(f.rates[r.No].Load()), 0.001)), time.Minute)):
		}
		m := &standin.Message{ID: fmt.Sprintf("%s-%d", r.Name, n), Class: "transfer", Partner: rng.IntN(partners), Timeout: 16 * time.Second, Body: "{}"}
		if n%2 == 0 {
			m.Class, m.Key = "match-event", "k"+m.ID
		}
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			at := time.Now()
			status, _ := client.Send(ctx, m)
			if status != 202 {
				f.note(checker.Entry{Kind: checker.Refused, Relay: r.Name, ID: m.ID, Text: fmt.Sprint(status)})
				return
			}
			f.note(checker.Entry{Kind: checker.Taken, Relay: r.Name, ID: m.ID})
			taken.Add(1)
			f.mu.Lock()
			_ = res.Answers.RecordValue(max(time.Since(at).Microseconds(), 1))
			f.mu.Unlock()
		})
	}
}

// recover makes all well again, and tells what then does not come about; "": all does.
func (f *Fleet) recover() string {
	f.note(checker.Entry{Kind: checker.Fault, Text: "all is well again"})
	f.heal()
	for _, r := range f.Relays {
		if os.Remove(r.full()) == nil {
			f.end(r, syscall.SIGKILL) // one whose disk was full has no say before it is started again
		}
		r.signal(syscall.SIGCONT)
		if err := f.Start(r); err != nil {
			return err.Error()
		}
	}
	last := uint64(0)
	tried := time.Time{}
	ok := f.Await(patience, func() bool {
		version, open := f.newest()
		f.mu.Lock()
		for _, c := range f.changes {
			if c.ticket == last && c.over && c.version == 0 {
				last = 0 // another was under way
			}
		}
		f.mu.Unlock()
		if !open && (last == 0 && time.Since(tried) > time.Second || time.Since(tried) > 3*time.Second) { // not taken, or lost
			tried = time.Now()
			f.begin(stamped)
			f.mu.Lock()
			last = f.changes[len(f.changes)-1].ticket
			f.mu.Unlock()
			return false
		}
		f.mu.Lock()
		c := f.changes[len(f.changes)-1]
		f.mu.Unlock()
		return last != 0 && c.ticket == last && c.over && c.version == version && f.Act(version)
	})
	if ok {
		return ""
	}
	return "all is well again, and no change takes hold" + f.standing()
}

// standing is what each relay says of itself.
func (f *Fleet) standing() (s string) {
	for _, r := range f.Relays {
		st, err := f.Ask(r, node.AdminRequest{Op: "status"}, time.Second)
		if err != nil {
			s += fmt.Sprintf("\n%s: %v", r.Name, err)
			continue
		}
		s += fmt.Sprintf("\n%s acts %v (%s), %s, leader %q, epoch %d, index %d, version %d, change %+v, progress %+v", r.Name, st.MayAct, st.WhyNot,
			st.Voter, st.Leader, st.State.Epoch, st.State.Index, st.State.Version, st.State.Change, st.Progress)
		if st.Quota != nil {
			s += fmt.Sprintf(", rights %+v, of all %+v", *st.Quota, st.Shared)
		}
	}
	return s
}

// ended tells whether every message that was taken on has its end: a call that a partner took, or a notice.
func (f *Fleet) ended() bool {
	notices, _ := f.disco.Notices()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.history {
		if e.Kind == checker.Taken && f.calls[e.ID] == 0 && notices[e.ID] == "" {
			return false
		}
	}
	return true
}

// judge hands the history to the checker.
func (f *Fleet) judge(res *Result) {
	notices, twice := f.disco.Notices()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.calls {
		res.Calls += n
		f.history = append(f.history, checker.Entry{At: f.now(), Kind: checker.Ended, ID: id, Text: "called"})
	}
	for id, how := range notices {
		if f.calls[id] == 0 {
			f.history = append(f.history, checker.Entry{At: f.now(), Kind: checker.Ended, ID: id, Text: how})
		}
	}
	if twice > 0 {
		f.history = append(f.history, checker.Entry{At: f.now(), Kind: checker.Broke, Text: fmt.Sprintf("%d messages were told two different ends", twice)})
	}
	for _, c := range f.changes {
		e := checker.Entry{At: c.at, Until: c.until, Kind: checker.Proposed, Base: c.base, Version: c.version}
		if res.Changes++; c.version != 0 {
			res.Held++
			res.Took = append(res.Took, c.until-c.at)
		}
		f.history = append(f.history, e)
	}
	for _, l := range f.links {
		res.Bytes += l.bytes[0].Load() + l.bytes[1].Load()
	}
	res.History = f.history
	res.Stale, res.StaleFor = checker.Stale(f.history)
	// A call may be seen a little after it was begun, on a machine that is busy; what a relay does that should not act goes on
	// for as long as it runs.
	res.Breach = checker.Judge(f.history, checker.Options{Slack: slack, Serves: f.plan.Alone == "serve", Ends: res.Stuck == "", Bounds: f.bounds()})
}

// least is a relay's smallest part of a partner's limit that it has a part of.
func (f *Fleet) least(r *Relay) float64 {
	s, err := f.Ask(r, node.AdminRequest{Op: "status"}, time.Second)
	if err != nil || s.Quota == nil || len(s.Quota.Keys) < partners {
		return 0
	}
	least := 1.0
	for _, p := range s.Quota.Keys {
		least = min(least, p.Share)
	}
	return least
}

// closeBounds ends the time for which the partners' limit was held; f.mu is held. All know of another limit a little later.
func (f *Fleet) closeBounds() {
	if f.limit == 0 || f.plan.Share == 0 {
		return
	}
	lives := 0.0
	for _, e := range f.history {
		if e.Kind == checker.Started {
			lives++
		}
	}
	from := f.sharedAt
	if n := len(f.limits); n > 0 {
		from = f.limits[n-1].Until + 2*f.plan.Lease
	}
	for p := range partners {
		f.limits = append(f.limits, checker.Bound{To: strconv.Itoa(p), Rate: f.limit, Burst: lives + f.limit*(0.05+slack.Seconds()), From: from, Until: f.now()})
	}
}

const slack = 400 * time.Millisecond

// bounds are what the policies that were in force let partners get by hand. A relay saves up one call, anew with each start, and
// what comes in a twentieth of a second; what was begun over a while may be seen at once.
func (f *Fleet) bounds() (all []checker.Bound) {
	f.closeBounds()
	all = append(all, f.limits...)
	lives := 0.0
	for _, e := range f.history {
		if e.Kind == checker.Started {
			lives++
		}
	}
	for _, c := range f.changes {
		d, err := policy.Parse([]byte(c.doc))
		if err != nil || c.version == 0 {
			continue
		}
		for to, p := range d.Partners {
			if p.Limit > 0 {
				all = append(all, checker.Bound{Version: c.version, To: to, Rate: p.Limit,
					Burst: lives + p.Limit*(0.05+slack.Seconds())})
			}
		}
	}
	return all
}
