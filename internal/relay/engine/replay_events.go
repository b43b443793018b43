package engine

import (
	"errors"
	"fmt"
	"time"

	"mastusher/internal/relay/capture"
)

// eventFrom is a recorded event as it came by the queue. Outcomes that the recording does not repeat are taken from those that the module
// was told of in the same turn.
func (c *Core) eventFrom(e *capture.CoreEvent, now time.Time, moduleOutcomes *[]Outcome) (event, error) {
	if e.Front >= len(c.frontsInOrder) || e.Front < 0 && e.Kind != capture.Submitted && e.Kind != capture.Moved {
		return nil, fmt.Errorf("there is no front %d", e.Front)
	}
	name := "?"
	if e.Front >= 0 {
		name = c.frontsInOrder[e.Front].name
	}
	switch e.Kind {
	case capture.Submitted:
		return c.arrivalFrom(e.Arrival, name, now)
	case capture.Withdrawn:
		return withdrawn{e.Ref}, nil
	case capture.Moved:
		return moved{name}, nil
	case capture.DrainStarted:
		return drain{}, nil
	case capture.Governed:
		if e.Mandate == nil {
			return nil, errors.New("what the fleet lets the relay do is missing")
		}
		return governed{Mandate{*e.Mandate, c.timeOf(e.Mandate.Until)}, nil}, nil
	case capture.QuotaGranted:
		if e.Shared == nil {
			return nil, errors.New("what the relay may spend is missing")
		}
		return quotaGranted{SharedLimits: *e.Shared, until: c.timeOf(e.Shared.LeaseExpiry)}, nil
	case capture.AttemptEnded:
		return c.attemptEndedFrom(e, moduleOutcomes)
	case capture.ListReported:
		return c.listChangedFrom(e), nil
	case capture.WatchEnded:
		err := errors.New(e.Text)
		if e.Text == ErrWatchTimeout.Error() {
			err = ErrWatchTimeout
		}
		return watchEnded{c.frontsInOrder[e.Front], int(e.Number), err}, nil
	case capture.Notified:
		f := c.frontsInOrder[e.Front]
		if f.cancelNotify == nil || len(f.sending) != len(e.Accepted) {
			return nil, errors.New("no call with so many notices is out")
		}
		return notified{f, e.Accepted}, nil
	}
	return nil, fmt.Errorf("an event of kind %d is not known", e.Kind)
}

func (c *Core) arrivalFrom(a *capture.Arrival, front string, now time.Time) (event, error) {
	if a == nil {
		return nil, errors.New("a message handed in is missing")
	}
	m := Message{ID: a.ID, Key: blankText(a.KeySize), Class: a.Class, Partner: a.Partner, Tenant: a.Tenant,
		Deadline: c.startedAt.Add(a.Deadline - clockStart), Resubmitted: a.Resubmitted, Body: []byte(blankText(a.Size)), ExtraHeaders: headersOfHash(a.Headers)}
	if a.MayHaveRun {
		m.MayHaveRunAt = c.startedAt.Add(a.MayHaveRunAt - clockStart)
	}
	return arrival{front: front, msg: m, submittedAt: now.Add(-a.QueuedFor), reply: make(chan Reply, 1),
		ruling: Ruling{Verdict(a.Verdict), a.Status, a.Reason}, seenUnderPolicy: a.SeenUnderPolicy}, nil
}

func (c *Core) attemptEndedFrom(e *capture.CoreEvent, moduleOutcomes *[]Outcome) (event, error) {
	attempt := c.inFlight[e.Number]
	var outcomes []Outcome
	for _, o := range e.Outcomes {
		outcomes = append(outcomes, Outcome(o))
	}
	if n := min(e.Items, len(*moduleOutcomes)); outcomes == nil {
		outcomes, *moduleOutcomes = (*moduleOutcomes)[:n], (*moduleOutcomes)[n:]
	}
	if attempt == nil || len(attempt.Items) != len(outcomes) {
		return nil, fmt.Errorf("route step %d is not out, or carries something else", e.Number)
	}
	return attemptEnded{attempt, outcomes}, nil
}

func (c *Core) listChangedFrom(e *capture.CoreEvent) event {
	change := listChanged{front: c.frontsInOrder[e.Front], watch: int(e.Number)}
	if e.List == nil {
		return change
	}
	change.Index, change.Complete = e.List.Index, e.List.Complete
	for _, d := range e.List.Destinations {
		change.Destinations = append(change.Destinations, Destination{Name: d.Name, Zone: d.Zone, Kind: d.Kind, Partner: d.Partner, State: d.State,
			Weight: d.Weight})
	}
	return change
}
