package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"mastusher/internal/tier/standin"
)

// Paces of those who use the tier during a day.
const (
	programPace = 700 * time.Millisecond
	orderPace   = 1200 * time.Millisecond
	readPace    = 1700 * time.Millisecond
	programSize = 4 // turns at most
	comeBack    = 25 * time.Second
	lastTries   = 6
)

// day plays one plan.
type day struct {
	*Fleet
	plan   Plan
	first  *operator
	second *operator
	users  *clients
	use    sync.WaitGroup

	// The fleet's mutex guards these.
	newest       uint64 // number of the newest version that an operator knows of
	closing      bool
	acknowledged func(acting *machine) // struck once
	shards       int
}

// play runs a day. It must be called inside a bubble.
func play(plan Plan, folder string, trace func(format string, arguments ...any)) (*Fleet, error) {
	options := Options{Seed: plan.Seed, Folder: folder, Trace: trace}
	if plan.Large {
		options.Controllers, options.Stores, options.Edges = 5, 6, 3
	}
	f, err := New(options)
	if err != nil {
		return nil, err
	}
	d := &day{Fleet: f, plan: plan, first: newOperator(f, "a"), second: newOperator(f, "b"), users: newClients(f)}
	f.onAnswer = d.answered
	d.begin()
	d.traffic()
	for _, fault := range plan.Faults {
		f.after(fault.At, func() { d.strike(fault) })
	}
	time.Sleep(Day)
	d.end()
	d.recover()
	f.Close()
	return f, nil
}

// begin starts the fleet with its first configuration.
func (d *day) begin() {
	d.StartAll()
	if status := d.first.order(0, d.first.next(1)); status != statusOK {
		d.report("BEGIN", "the first configuration was answered %d", status)
	}
	d.learn(1)
	if !d.until(comeBack, func() bool { return d.allReady(d.users) }) {
		d.report("BEGIN", "the proxies aren't ready")
	}
	d.running.Go(d.users.follow)
	for d.shards = 1; d.shards < d.options.Stores; d.shards *= 2 {
	}
	if !d.until(comeBack, func() bool { return d.wholeShards() == d.shards }) {
		d.report("BEGIN", "%d of %d shards have all their replicas", d.wholeShards(), d.shards)
	}
}

// traffic has operators and clients at work until the day ends.
func (d *day) traffic() {
	d.every(orderPace, func() { d.order(d.first) })
	d.every(readPace, func() {
		if read, ok := d.second.read(d.second.someController()); ok {
			d.learn(read.Number)
		}
	})
	d.use.Go(func() {
		for !d.isClosing() {
			d.use.Go(d.program)
			time.Sleep(d.between(programPace))
		}
	})
}

// every does something again and again, one after the other.
func (d *day) every(pace time.Duration, run func()) {
	d.use.Go(func() {
		for time.Sleep(d.between(pace)); !d.isClosing(); time.Sleep(d.between(pace)) {
			run()
		}
	})
}

// between draws a time of half to one and a half.
func (d *day) between(pace time.Duration) time.Duration {
	return pace/2 + time.Duration(d.intN(int(pace)))
}

// program plays a program; some go on from a turn of another, and some have a budget.
func (d *day) program() {
	budget, from := int64(0), standin.Turn{}
	if d.intN(2) == 0 {
		budget = int64(mostTokens * (1 + d.intN(2*programSize)))
	}
	if turns := d.history.wholeTurns(); len(turns) > 0 && d.intN(4) == 0 {
		from = turns[d.intN(len(turns))]
	}
	if !from.Ended.IsZero() && time.Since(from.Ended) > keepFor/4 {
		from = standin.Turn{}
	}
	d.users.play(1+d.intN(programSize), budget, from)
}

// order sends the next version.
func (d *day) order(o *operator) int {
	base := d.known()
	number := base + 1 + uint64(d.intN(3))
	status := o.order(base, o.next(number))
	if status == statusOK {
		d.learn(number)
	} else if read, ok := o.read(o.someController()); ok {
		d.learn(read.Number)
	}
	return status
}

// race has two operators order at the same time on the same version; half of the times under the same number.
func (d *day) race(fault Fault) {
	base := d.known()
	for i, o := range []*operator{d.first, d.second} {
		d.use.Go(func() {
			number := base + 1 + uint64(i*(fault.Other%2))
			if o.order(base, o.next(number)) == statusOK {
				d.learn(number)
			}
		})
	}
}

// orderInvalid sends orders that must be refused.
func (d *day) orderInvalid() {
	d.use.Go(func() {
		for _, body := range []string{`{"number":`, `{"number":99999,"routes":[{"name":"r","host":"h","startsWith":"/x/","service":"none"}]}`} {
			status, _, _ := d.first.call(http.MethodPut, d.first.someController(), "/mastusher/settings", []byte(body), d.known())
			if status == statusOK {
				d.report("CONFIG", "an invalid order was acknowledged: %s", body)
			}
		}
	})
}

// repeatEarlier sends an order once more that was sent before.
func (d *day) repeatEarlier(fault Fault) {
	d.use.Go(func() {
		if orders := d.history.orders(); len(orders) > 0 {
			repeated := orders[fault.Other%len(orders)]
			d.second.put(d.second.someController(), repeated.Base, repeated.Content)
		}
	})
}

func (d *day) known() uint64 {
	d.Fleet.mutex.Lock()
	defer d.Fleet.mutex.Unlock()
	return d.newest
}

func (d *day) learn(number uint64) {
	d.Fleet.mutex.Lock()
	defer d.Fleet.mutex.Unlock()
	d.newest = max(d.newest, number)
}

func (d *day) isClosing() bool {
	d.Fleet.mutex.Lock()
	defer d.Fleet.mutex.Unlock()
	return d.closing
}

// answered is told who has just acknowledged an order.
func (d *day) answered(address string) {
	d.Fleet.mutex.Lock()
	strike := d.acknowledged
	d.acknowledged = nil
	d.Fleet.mutex.Unlock()
	if strike == nil {
		return
	}
	for _, m := range d.of(coreClass) {
		if m.address(controlPort) == address {
			d.running.Go(func() { strike(m) })
		}
	}
}

// end ends the traffic and all troubles.
func (d *day) end() {
	d.Fleet.mutex.Lock()
	d.closing, d.acknowledged = true, nil
	d.Fleet.mutex.Unlock()
	time.Sleep(longest + grace) // all faults have ended by themselves, and what was stopped has started again
	everyone := d.of(coreClass, storageClass, edgeClass)
	for _, m := range everyone {
		for _, other := range everyone {
			if m != other {
				d.join(m, other)
			}
		}
		m.host.Thaw()
		m.startAll()
	}
	d.use.Wait()
}

// recover sees whether all is well once the troubles are over.
func (d *day) recover() {
	read, ok := d.first.readBack()
	if !ok {
		d.report("RECOVER", "the configuration is not read back")
		return
	}
	last := d.first.next(read.Number + 1)
	if status := d.first.order(read.Number, last); status != statusOK {
		d.report("RECOVER", "the last order was answered %d", status)
		return
	}
	if !d.until(comeBack, func() bool { return d.allReady(d.users) && d.allServe(last) }) {
		d.report("RECOVER", "not all proxies serve the newest configuration %v", last)
	}
	d.recoverPrograms()
	whole := 0
	if !d.until(comeBack, func() bool { whole = d.wholeShards(); return whole == d.shards }) {
		d.report("RECOVER", "%d of %d shards have all their replicas", whole, d.shards)
	}
}

// recoverPrograms plays programs that must end well, one of them from an earlier turn.
func (d *day) recoverPrograms() {
	turns := d.history.wholeTurns()
	slices.Reverse(turns)
	froms := []standin.Turn{{}, {}}
	if len(turns) > 0 && time.Since(turns[0].Ended) < keepFor/2 {
		froms = append(froms, turns[0])
	}
	for _, from := range froms {
		state := standin.Failed
		for try := 0; try < lastTries && state != standin.Finished; try++ {
			state = d.users.play(2, 0, from).State
		}
		if state != standin.Finished {
			d.report("RECOVER", "a program from %q ended as %s", from.Attempt, state)
		}
	}
}

// allServe tells whether each proxy serves a route that only the content has.
func (d *day) allServe(newest content) bool {
	for _, m := range d.of(edgeClass) {
		attempt := fmt.Sprintf("look-%s-%s-%d", m.name, newest.Mark, d.now())
		if d.users.get(m, markPath(newest)+"x", attempt) != statusOK {
			return false
		}
	}
	return true
}
