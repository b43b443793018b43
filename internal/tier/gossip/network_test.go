package gossip

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"mastusher/internal/tier/view"
	"mastusher/internal/tier/virtualtime"
)

// network is an in-memory network in virtual time.
type network struct {
	loop    virtualtime.Loop
	random  *rand.Rand
	hosts   []*host
	byName  map[string]*host
	options Options

	loss    float64                   // share of datagrams that are lost
	blocked func(from, to *host) bool // a cut of one direction
	broken  error                     // the first breach that was seen

	messages int
	bytes    int
	fetches  int
}

// host is one member.
type host struct {
	address  string
	spreader *Gossiper // nil: it is down
	starts   int
	version  uint64 // of the timer
	atOnce   int    // steps in a row that wanted the next one at once
	hangs    bool   // takes calls and never answers
	fetching map[view.Section]time.Duration
	reported map[view.Section]view.Stamp
	at       map[view.Section]time.Duration // of the last report
}

// newNetwork starts size hosts that know one another.
func newNetwork(size int, seed uint64) *network {
	w := &network{
		random:  rand.New(rand.NewPCG(seed, 1)),
		byName:  map[string]*host{},
		loss:    0.02,
		blocked: func(from, to *host) bool { return false },
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
func (w *network) start(h *host) {
	options := w.options
	options.Seed = w.random.Uint64()
	h.starts++
	h.spreader = New(options, NewStore())
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

func (w *network) kill(h *host) {
	h.spreader = nil
	h.version++
}

func (w *network) after(delay time.Duration, run func()) { w.loop.After(delay, run) }

func (w *network) runFor(duration time.Duration) { w.loop.RunFor(duration) }

func (w *network) step(h *host, input Input) {
	effects := h.spreader.Step(w.loop.Now(), input)
	for _, piece := range effects.Updated {
		w.checkReport(h, piece)
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
		if h.version == version && h.spreader != nil {
			w.step(h, Input{})
		}
	})
}

// busy tells whether a host asks to be woken at once again and again, which would never end.
func (w *network) busy(h *host, wake time.Duration) bool {
	const most = 100
	if wake > w.loop.Now() {
		h.atOnce = 0
		return false
	}
	h.atOnce++
	if h.atOnce < most {
		return false
	}
	w.breach("%s wants to be woken at once again and again", h.address)
	return true
}

// checkReport sees to it that each report is newer than the last.
func (w *network) checkReport(h *host, piece view.Update) {
	last, found := h.reported[piece.Section]
	if found && !last.Less(piece.Stamp) {
		w.breach("%s reported %v of %s after %v", h.address, piece.Stamp, piece.Section, last)
	}
	h.reported[piece.Section] = piece.Stamp
	h.at[piece.Section] = w.loop.Now()
}

// checkFetch sees to it that there is one fetch of a section at a time, unless the last one took too long.
func (w *network) checkFetch(h *host, fetch Fetch) {
	for section := range fetch.Wanted {
		since, found := h.fetching[section]
		if found && w.loop.Now()-since < h.spreader.options.FetchTimeout {
			w.breach("%s fetches %s twice", h.address, section)
		}
		h.fetching[section] = w.loop.Now()
	}
}

func (w *network) breach(format string, values ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, values...)
	}
}

func (w *network) delay() time.Duration {
	return 500*time.Microsecond + time.Duration(w.random.Int64N(int64(4500*time.Microsecond)))
}

func (w *network) send(from *host, datagram Datagram) {
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
		if to.spreader != nil && !w.blocked(from, to) {
			w.step(to, Input{Datagrams: []Datagram{{from.address, datagram.Message}}})
		}
	})
}

// fetch asks for pieces over a connection: two ways for its opening, one for the question, one for the answer.
func (w *network) fetch(from *host, fetch Fetch) {
	w.fetches++
	starts := from.starts
	finish := func(after time.Duration, pieces []view.Update) {
		w.after(after, func() {
			if from.spreader == nil || from.starts != starts {
				return
			}
			for section := range fetch.Wanted {
				delete(from.fetching, section)
			}
			w.step(from, Input{Fetched: []FetchResult{{Token: fetch.Token, Pieces: pieces}}})
		})
	}
	to := w.byName[fetch.Address]
	w.after(w.delay()+w.delay()+w.delay(), func() {
		switch {
		case to.hangs && to.spreader != nil || w.blocked(from, to) || w.blocked(to, from):
			const hang = 5 * time.Second
			finish(hang, nil)
		case to.spreader == nil:
			finish(w.delay(), nil)
		default:
			finish(w.delay(), to.spreader.store.AtLeast(fetch.Wanted))
		}
	})
}

// write makes a host the author of a piece.
func (w *network) write(h *host, section view.Section, epoch, sequence uint64) view.Update {
	piece := view.Update{
		Section: section,
		Stamp:   view.Stamp{Term: epoch, Sequence: sequence},
		Body:    json.RawMessage(fmt.Sprintf(`{"written":"%d.%d"}`, epoch, sequence)),
	}
	w.step(h, Input{Pieces: []view.Update{piece}})
	return piece
}

// holds counts the running hosts that hold a stamp of a section or a newer one, and all running ones.
func (w *network) holds(section view.Section, stamp view.Stamp) (holding, running int) {
	for _, h := range w.hosts {
		if h.spreader == nil {
			continue
		}
		running++
		if held, found := h.spreader.store.Get(section); found && !held.Stamp.Less(stamp) {
			holding++
		}
	}
	return holding, running
}

// expectAll runs until all running hosts hold a piece.
func (w *network) expectAll(piece view.Update, limit time.Duration) error {
	end := w.loop.Now() + limit
	for {
		holding, running := w.holds(piece.Section, piece.Stamp)
		if holding == running {
			return w.broken
		}
		if w.loop.Now() >= end {
			return fmt.Errorf("%d of %d hold %s %v after %v", holding, running, piece.Section, piece.Stamp, limit)
		}
		w.runFor(20 * time.Millisecond)
	}
}
