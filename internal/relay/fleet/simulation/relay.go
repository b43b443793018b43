package simulation

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

// Relay is a simulated relay process with its clock and disk.
type Relay struct {
	Name         string
	Index        int
	Node         *node.Node
	Incarnations int
	Mandate      node.Mandate
	Stopped      bool // paused, as by SIGSTOP

	clockRate, clockOffset float64 // of its clock, see clock
	disk                   disk
	scheduledSteps         uint64 // number of scheduled steps, of all incarnations; only the newest is run
	DiskFull               bool   // saves fail
	actionsUntilCrash      int    // see CrashAfterActions; below 0: it does not crash
	events                 []node.Event
	Lease                  quota.Lease // the quota lease that its core has applied
}

// clock converts a virtual time to the relay's own clock.
func (r *Relay) clock(now time.Duration) time.Duration {
	return time.Duration(r.clockOffset) + time.Duration(float64(now)*r.clockRate)
}

// Start starts a relay, as a new incarnation, from its disk.
func (w *World) Start(r *Relay) {
	r.disk.generation++
	r.Incarnations++
	r.Mandate, r.Lease, r.events, r.actionsUntilCrash, r.Stopped = node.Mandate{}, quota.Lease{}, nil, -1, false
	cfg := node.Config{Name: r.Name, Generation: r.disk.generation, Incarnation: w.rng.Uint64() | 1, Seed: w.rng.Uint64(), Member: r.disk.member, Voters: w.relayNames(w.Voters),
		Roster: w.relayNames(w.Options.Relays), Lease: w.Lease, MaxClockDrift: w.MaxClockDrift, ServeWhenPartitioned: w.ServeWhenPartitioned, GuaranteedShare: w.GuaranteedShare, Zone: r.Index % max(w.Zones, 1)}
	if w.roster != nil {
		cfg.Roster = w.roster
	}
	image := r.disk.clone().image
	n, err := node.New(cfg, &image, r.clock(w.Now()))
	if err != nil {
		w.reportViolation(r, err.Error())
		return
	}
	r.Node = n
	w.record(checker.Entry{Kind: checker.Started, Relay: r.Name})
	w.scheduleStep(r, 0)
	if w.GuaranteedShare > 0 {
		w.After(time.Duration(w.rng.Int64N(int64(demandInterval))), func() { w.sendDemands(r, r.Node) })
	}
	if w.ActInterval > 0 {
		w.After(time.Duration(w.rng.Int64N(int64(w.ActInterval))), func() { w.attemptAct(r, r.Node) })
	}
}

// Crash ends a relay's process at once; its disk keeps the saved state.
func (w *World) Crash(r *Relay) {
	if r.Node != nil {
		w.injectedFault("crash " + r.Name)
	}
	r.Node = nil
}

// CopyDisk copies a relay's disk and returns a function that restores the copy.
func (w *World) CopyDisk(r *Relay) func() {
	d := r.disk.clone()
	return func() {
		w.injectedFault("older folder of " + r.Name)
		r.disk = d.clone()
	}
}

// WipeDisk replaces a relay's disk with an empty one, under a new member id.
func (w *World) WipeDisk(r *Relay) {
	w.injectedFault("no folder of " + r.Name)
	r.disk = disk{member: w.rng.Uint64() | 1}
}

// Stop pauses a relay for a time, as SIGSTOP does; its clock continues.
func (w *World) Stop(r *Relay, d time.Duration) {
	w.injectedFault("stop " + r.Name)
	r.Stopped = true
	n := r.Node
	w.After(d, func() {
		if r.Node == n {
			r.Stopped = false
			w.scheduleStep(r, 0)
		}
	})
}

// attemptAct records an act if a relay may act now, and schedules the next attempt.
func (w *World) attemptAct(r *Relay, incarnation *node.Node) {
	if r.Node != incarnation || incarnation == nil {
		return
	}
	if !r.Stopped && r.Mandate.Halted == 0 && r.Mandate.Until > r.clock(w.Now()) {
		w.record(checker.Entry{Kind: checker.Acted, Relay: r.Name, Version: r.Mandate.Version})
	}
	w.After(w.ActInterval, func() { w.attemptAct(r, incarnation) })
}

// Admin sends an operator's request to a relay.
func (w *World) Admin(r *Relay, a node.AdminRequest) {
	if r.Node != nil {
		w.notify(r, node.Event{AdminRequest: &a})
	}
}

// notify queues an event for a relay and schedules a step at once.
func (w *World) notify(r *Relay, ev node.Event) {
	r.events = append(r.events, ev)
	w.scheduleStep(r, 0)
}

// scheduleStep schedules a step of a relay after d, which replaces the one scheduled before.
func (w *World) scheduleStep(r *Relay, d time.Duration) {
	r.scheduledSteps++
	incarnation, number := r.Node, r.scheduledSteps
	w.After(d, func() {
		if r.Node == incarnation && incarnation != nil && !r.Stopped && r.scheduledSteps == number {
			w.step(r)
		}
	})
}

// step passes a node its events and performs its actions in order. A crash or a full disk drops the remaining actions.
func (w *World) step(relay *Relay) {
	now := relay.clock(w.Now())
	evs := relay.events
	relay.events = nil
	if w.Steps++; w.Steps%stormSteps == 0 {
		if w.Now()-w.stormAt < time.Duration(stormSteps/len(w.Relays))*stormGap { // such as relays that answer each other for ever
			w.reportViolation(relay, "a storm of messages")
			w.loop.Clear()
			return
		}
		w.stormAt = w.Now()
	}
	for _, a := range relay.Node.Step(now, evs) {
		if relay.actionsUntilCrash >= 0 {
			if relay.actionsUntilCrash--; relay.actionsUntilCrash < 0 {
				w.Crash(relay)
				return
			}
		}
		if relay.DiskFull && a.Save != nil {
			w.notify(relay, node.Event{SaveFailed: errors.New("no space left")})
			return
		}
		if relay == w.crashBeforeSave && a.Save != nil && len(a.Save.Entries) > 0 {
			w.Crash(relay)
			return
		}
		w.perform(relay, a)
	}
	// Next is a duration on the relay's clock, which is close enough to virtual time.
	w.scheduleStep(relay, relay.Node.Next(now))
}

// CrashAfterActions lets a relay crash after n more actions, for example between a save and the message that depends on it.
func (w *World) CrashAfterActions(r *Relay, n int) { r.actionsUntilCrash = n }

// perform executes one action of a node. Answers to operators are dropped.
func (w *World) perform(relay *Relay, action node.Action) {
	incarnation := relay.Node
	later := func(ev node.Event) {
		w.After(time.Millisecond, func() {
			if relay.Node == incarnation {
				w.notify(relay, ev)
			}
		})
	}
	switch {
	case action.Save != nil:
		relay.disk.save(action.Save, action.Member)
	case action.Generation != 0:
		relay.disk.generation = action.Generation
	case action.Message != nil:
		w.send(relay, w.byName[action.To], action.Message)
	case action.Check != nil:
		v := &node.Verdict{Version: action.Check.Version}
		if w.CanApply != nil {
			if err := w.CanApply(relay.Name, relay.Incarnations, action.Check.Doc); err != nil {
				v.Reason = err.Error()
			}
		}
		later(node.Event{Verdict: v})
	case action.Mandate != nil:
		relay.Mandate = *action.Mandate
		if h := action.Mandate.Halted; h != 0 {
			later(node.Event{HaltedFor: h})
		}
		w.recordPastChanges(relay)
	case action.Lease != nil:
		s := *action.Lease
		w.After(time.Millisecond, func() { // the delay until the core applies the lease
			if relay.Node == incarnation {
				relay.Lease = s
				w.checkSpending(relay)
				w.notify(relay, node.Event{ConfirmedLease: &[2]uint64{s.Term, s.Number}})
			}
		})
	case action.Log != "":
		if strings.HasPrefix(action.Log, "this relay has no say") && !relay.DiskFull {
			w.reportViolation(relay, fmt.Sprint(action.Fields...)) // the node may stop voting only because of a full disk
		}
		w.record(checker.Entry{Kind: checker.Log, Relay: relay.Name, Text: action.Log + " " + fmt.Sprint(action.Fields...)})
	}
}
