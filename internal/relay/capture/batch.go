package capture

import (
	"runtime"
	"time"

	"mastusher/control"
)

// batch holds records unencoded until the writer encodes them all together: encoding each turn by itself takes several times
// as long, since after a pause the encoder's code is no longer in the processor's caches. The values that records point to
// are kept in slices that are reused.
type batch struct {
	order    []Type
	turns    []Turn
	inputs   []Input
	names    []Name
	messages []Message
	notes    []Note
	states   []State
	cores    []*Core
	gaps     []Gap

	events     []control.Event
	actions    []control.Action
	coreEvents []CoreEvent
	arrivals   []Arrival

	weight     int       // approximate size of the encoded records before compression, in bytes
	beginsFile bool      // the writer starts a new file with this batch
	since      time.Time // when its first turn ended
}

// Measured sizes of encoded records, in bytes before compression.
const (
	turnWeight, eventWeight, actionWeight = 14, 24, 22
	coreEventWeight, nameWeight           = 36, 30
)

func (b *batch) turn(no uint64, now time.Duration, events []control.Event, actions []control.Action) {
	b.turns = append(b.turns, Turn{no, now, appendCopy(&b.events, events), appendCopy(&b.actions, actions)})
	b.order = append(b.order, TypeTurn)
	b.weight += turnWeight + eventWeight*len(events) + actionWeight*len(actions)
}

func (b *batch) input(in *Input) {
	own := *in
	own.Events, own.Actions = appendCopy(&b.coreEvents, in.Events), nil
	for i := range own.Events {
		if a := own.Events[i].Arrival; a != nil {
			b.arrivals = append(b.arrivals, *a)
			own.Events[i].Arrival = &b.arrivals[len(b.arrivals)-1]
		}
	}
	if len(in.Full) > 0 {
		own.Full = append([]int(nil), in.Full...)
	} else {
		own.Full = nil
	}
	b.inputs = append(b.inputs, own)
	b.order = append(b.order, TypeInput)
	b.weight += turnWeight + coreEventWeight*len(in.Events)
}

func (b *batch) name(n Name) {
	b.names, b.order = append(b.names, n), append(b.order, TypeName)
	b.weight += nameWeight
}

func (b *batch) message(m Message) {
	b.messages, b.order = append(b.messages, m), append(b.order, TypeMessage)
	b.weight += nameWeight
}

func (b *batch) note(n Note) { b.notes, b.order = append(b.notes, n), append(b.order, TypeNote) }

func (b *batch) gap(g Gap) { b.gaps, b.order = append(b.gaps, g), append(b.order, TypeGap) }

func (b *batch) state(snapshot *control.Snapshot, core *Core) {
	b.states, b.order = append(b.states, State{snapshot}), append(b.order, TypeState)
	if core != nil {
		b.cores, b.order = append(b.cores, core), append(b.order, TypeCore)
	}
}

// appendCopy appends the elements of list to *all and returns the appended part: nil if list is empty.
func appendCopy[T any](all *[]T, list []T) []T {
	if len(list) == 0 {
		return nil
	}
	start := len(*all)
	*all = append(*all, list...)
	return (*all)[start:len(*all):len(*all)]
}

// encode adds all records to a block, in order. It yields every 16 records: the relay may have a single processor.
func (b *batch) encode(to *block) (err error) {
	var next [TypeInput + 1]int // by type: the index of its next record
	for n, t := range b.order {
		i := next[t]
		next[t]++
		switch t {
		case TypeTurn:
			err = to.add(t, &b.turns[i])
		case TypeInput:
			err = to.add(t, &b.inputs[i])
		case TypeName:
			err = to.add(t, &b.names[i])
		case TypeMessage:
			err = to.add(t, &b.messages[i])
		case TypeNote:
			err = to.add(t, &b.notes[i])
		case TypeState:
			err = to.add(t, &b.states[i])
		case TypeCore:
			err = to.add(t, b.cores[i])
		case TypeGap:
			err = to.add(t, &b.gaps[i])
		}
		if err != nil {
			return err
		}
		if n%16 == 15 {
			runtime.Gosched()
		}
	}
	return nil
}

// reset empties a batch for reuse.
func (b *batch) reset() {
	clear(b.inputs)
	clear(b.names)
	clear(b.messages)
	clear(b.states)
	clear(b.cores)
	clear(b.events)
	clear(b.actions)
	clear(b.coreEvents)
	clear(b.arrivals)
	*b = batch{order: b.order[:0], turns: b.turns[:0], inputs: b.inputs[:0], names: b.names[:0], messages: b.messages[:0],
		notes: b.notes[:0], states: b.states[:0], cores: b.cores[:0], gaps: b.gaps[:0], events: b.events[:0], actions: b.actions[:0],
		coreEvents: b.coreEvents[:0], arrivals: b.arrivals[:0]}
}
