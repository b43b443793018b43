package gossip

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"mastusher/internal/tier/view"
	"mastusher/internal/virtualtime"
)

// cluster is a set of hosts in virtual time, joined by an in-memory network.
type cluster struct {
	loop    virtualtime.Loop
	random  *rand.Rand
	hosts   []*host
	byName  map[string]*host
	options Options

	loss      float64                   // share of datagrams that are lost
	blocked   func(from, to *host) bool // a partition of one direction
	violation error                     // the first violation that was seen

	messages int
	bytes    int
	fetches  int
}

// host is one member.
type host struct {
	address        string
	gossiper       *Gossiper // nil: it is down
	starts         int
	version        uint64 // of the timer
	immediateSteps int    // steps in a row that asked for the next one at once
	hangs          bool   // accepts calls and never answers
	fetching       map[view.Section]time.Duration
	reported       map[view.Section]view.Stamp
	at             map[view.Section]time.Duration // of the last report
}

// newCluster starts size hosts that know one another.
func newCluster(size int, seed uint64) *cluster {
	w := &cluster{
		random:  rand.New(rand.NewPCG(seed, 1)),
		byName:  map[string]*host{},
		loss:    0.02,
		blocked: func(_, _ *host) bool { return false },
	}
	for i := range size {
		added := &host{address: fmt.Sprintf("10.0.%d.%d:7380", i/250, i%250)}
		w.hosts = append(w.hosts, added)
		w.byName[added.address] = added
	}
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

// start starts a host with an empty store.
func (w *cluster) start(h *host) {
	options := w.options
	options.Seed = w.random.Uint64()
	h.starts++
	h.gossiper = New(options, NewStore())
	h.hangs = false
	h.fetching = map[view.Section]time.Duration{}
	h.reported = map[view.Section]view.Stamp{}
	h.at = map[view.Section]time.Duration{}
	peers := make([]string, 0, len(w.hosts))
	for _, other := range w.hosts {
		if other != h {
			peers = append(peers, other.address)
		}
	}
	w.step(h, Input{Peers: peers})
}

func (w *cluster) kill(h *host) {
	h.gossiper = nil
	h.version++
}

func (w *cluster) after(delay time.Duration, run func()) { w.loop.After(delay, run) }

func (w *cluster) runFor(duration time.Duration) { w.loop.RunFor(duration) }

func (w *cluster) step(h *host, input Input) {
	effects := h.gossiper.Step(w.loop.Now(), input)
	for _, update := range effects.Updated {
		w.checkReport(h, update)
	}
	for _, datagram := range effects.Datagrams {
		w.send(h, datagram)
	}
	for _, fetch := range effects.Fetches {
		w.checkFetch(h, fetch)
		w.fetch(h, fetch)
	}
	h.version++
	version := h.version
	if effects.NextWake == never || w.busy(h, effects.NextWake) {
		return
	}
	w.after(effects.NextWake-w.loop.Now(), func() {
		if h.version == version && h.gossiper != nil {
			w.step(h, Input{})
		}
	})
}

// busy reports whether a host asks to be woken at once without end.
func (w *cluster) busy(h *host, wake time.Duration) bool {
	const maxImmediateSteps = 100
	if wake > w.loop.Now() {
		h.immediateSteps = 0
		return false
	}
	h.immediateSteps++
	if h.immediateSteps < maxImmediateSteps {
		return false
	}
	w.violate("%s asks to be woken at once without end", h.address)
	return true
}

// checkReport checks that each report is newer than the last.
func (w *cluster) checkReport(h *host, update view.Update) {
	last, found := h.reported[update.Section]
	if found && !last.Less(update.Stamp) {
		w.violate("%s reported %v of %s after %v", h.address, update.Stamp, update.Section, last)
	}
	h.reported[update.Section] = update.Stamp
	h.at[update.Section] = w.loop.Now()
}

// checkFetch checks that there is one fetch of a section at a time, unless the last one exceeded its time-out.
func (w *cluster) checkFetch(h *host, fetch Fetch) {
	for section := range fetch.Requested {
		since, found := h.fetching[section]
		if found && w.loop.Now()-since < h.gossiper.options.FetchTimeout {
			w.violate("%s fetches %s twice", h.address, section)
		}
		h.fetching[section] = w.loop.Now()
	}
}

func (w *cluster) violate(format string, values ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, values...)
	}
}

func (w *cluster) delay() time.Duration {
	return 500*time.Microsecond + time.Duration(w.random.Int64N(int64(4500*time.Microsecond)))
}

func (w *cluster) send(from *host, datagram Datagram) {
	encoded, err := json.Marshal(datagram.Message)
	if err != nil {
		panic(err)
	}
	w.messages++
	w.bytes += len(encoded)
	to := w.byName[datagram.Address]
	if w.random.Float64() < w.loss {
		return
	}
	w.after(w.delay(), func() {
		if to.gossiper != nil && !w.blocked(from, to) {
			w.step(to, Input{Datagrams: []Datagram{{from.address, datagram.Message}}})
		}
	})
}

// fetch requests updates over a connection: two ways for its handshake, one for the request, one for the response.
func (w *cluster) fetch(from *host, fetch Fetch) {
	w.fetches++
	starts := from.starts
	finish := func(after time.Duration, updates []view.Update) {
		w.after(after, func() {
			if from.gossiper == nil || from.starts != starts {
				return
			}
			for section := range fetch.Requested {
				delete(from.fetching, section)
			}
			w.step(from, Input{Fetched: []FetchResult{{Token: fetch.Token, Updates: updates}}})
		})
	}
	to := w.byName[fetch.Address]
	w.after(w.delay()+w.delay()+w.delay(), func() {
		switch {
		case to.hangs && to.gossiper != nil || w.blocked(from, to) || w.blocked(to, from):
			const hang = 5 * time.Second
			finish(hang, nil)
		case to.gossiper == nil:
			finish(w.delay(), nil)
		default:
			finish(w.delay(), to.gossiper.store.AtLeast(fetch.Requested))
		}
	})
}

// write makes a host the author of an update.
func (w *cluster) write(h *host, section view.Section, epoch, sequence uint64) view.Update {
	update := view.Update{
		Section: section,
		Stamp:   view.Stamp{Term: epoch, Sequence: sequence},
		Body:    json.RawMessage(fmt.Sprintf(`{"written":"%d.%d"}`, epoch, sequence)),
	}
	w.step(h, Input{Updates: []view.Update{update}})
	return update
}

// countReached counts the running hosts that have a stamp of a section or a newer one, and all running ones.
func (w *cluster) countReached(section view.Section, stamp view.Stamp) (reached, running int) {
	for _, h := range w.hosts {
		if h.gossiper == nil {
			continue
		}
		running++
		if current, found := h.gossiper.store.Get(section); found && !current.Stamp.Less(stamp) {
			reached++
		}
	}
	return reached, running
}

// expectAll runs until all running hosts have an update.
func (w *cluster) expectAll(update view.Update, limit time.Duration) error {
	end := w.loop.Now() + limit
	for {
		reached, running := w.countReached(update.Section, update.Stamp)
		if reached == running {
			return w.violation
		}
		if w.loop.Now() >= end {
			return fmt.Errorf("%d of %d hold %s %v after %v", reached, running, update.Section, update.Stamp, limit)
		}
		w.runFor(20 * time.Millisecond)
	}
}
