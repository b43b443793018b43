package engine

import (
	"errors"
	"time"

	"mastusher/internal/relay/capture"
)

// replayedEvent converts a recorded event back to an event of the queue. Outcomes that are not in the record itself are removed from the
// front of moduleOutcomes, which holds those in the module's events of the same turn. If the event does not match the core's state, it
// returns one of the errors of replay_errors.go.
func (c *Core) replayedEvent(recorded *capture.CoreEvent, now time.Time, moduleOutcomes *[]Outcome) (event, error) {
	if recorded.Front >= len(c.frontsInOrder) || recorded.Front < 0 && recorded.Kind != capture.Submitted && recorded.Kind != capture.DiscoveryMoved {
		return nil, unknownFrontError(recorded.Front)
	}
	name := "?"
	if recorded.Front >= 0 {
		name = c.frontsInOrder[recorded.Front].name
	}
	switch recorded.Kind {
	case capture.Submitted:
		return c.replayedArrival(recorded.Arrival, name, now)
	case capture.Withdrawn:
		return withdrawn{recorded.Ref}, nil
	case capture.DiscoveryMoved:
		return discoveryMoved{name}, nil
	case capture.DrainStarted:
		return drain{}, nil
	case capture.MandateChanged:
		if recorded.Mandate == nil {
			return nil, errMandateMissing
		}
		return mandateChanged{Mandate{*recorded.Mandate, c.fromModuleTime(recorded.Mandate.Until)}, nil}, nil
	case capture.QuotaGranted:
		if recorded.Shared == nil {
			return nil, errSharedLimitsMissing
		}
		return quotaGranted{SharedLimits: *recorded.Shared, until: c.fromModuleTime(recorded.Shared.LeaseExpiry)}, nil
	case capture.AttemptEnded:
		return c.replayedAttemptEnded(recorded, moduleOutcomes)
	case capture.ListReported:
		return c.replayedListChanged(recorded), nil
	case capture.WatchEnded:
		err := errors.New(recorded.Text)
		if recorded.Text == ErrWatchTimeout.Error() {
			err = ErrWatchTimeout
		}
		return watchEnded{c.frontsInOrder[recorded.Front], int(recorded.Number), err}, nil
	case capture.NoticesAnswered:
		f := c.frontsInOrder[recorded.Front]
		if f.cancelNotify == nil || len(f.sending) != len(recorded.Accepted) {
			return nil, errNoticesNotInFlight
		}
		return notifyCallEnded{f, recorded.Accepted}, nil
	}
	return nil, unknownEventKindError(recorded.Kind)
}

// replayedArrival converts a recorded submission; body and key, of which only the lengths are recorded, are blank.
func (c *Core) replayedArrival(a *capture.Arrival, front string, now time.Time) (event, error) {
	if a == nil {
		return nil, errArrivalMissing
	}
	m := Message{ID: a.ID, Key: blankText(a.KeySize), Class: a.Class, Partner: a.Partner, Tenant: a.Tenant,
		Deadline: c.startedAt.Add(a.Deadline - clockStart), Resubmitted: a.Resubmitted, Body: []byte(blankText(a.Size)),
		ExtraHeaders: headersOfHash(a.Headers)}
	if a.MayHaveRun {
		m.MayHaveRunAt = c.startedAt.Add(a.MayHaveRunAt - clockStart)
	}
	return arrival{front: front, msg: m, submittedAt: now.Add(-a.QueuedFor), reply: make(chan Reply, 1),
		ruling: Ruling{Verdict(a.Verdict), a.Status, a.Reason}, seenUnderPolicy: a.SeenUnderPolicy}, nil
}

// replayedAttemptEnded converts a recorded end of an attempt. Its outcomes are those in the record or, if it has none, the next ones of
// moduleOutcomes.
func (c *Core) replayedAttemptEnded(e *capture.CoreEvent, moduleOutcomes *[]Outcome) (event, error) {
	attempt := c.inFlight[e.Number]
	var outcomes []Outcome
	for _, o := range e.Outcomes {
		outcomes = append(outcomes, Outcome(o))
	}
	if n := min(e.Items, len(*moduleOutcomes)); outcomes == nil {
		outcomes, *moduleOutcomes = (*moduleOutcomes)[:n], (*moduleOutcomes)[n:]
	}
	if attempt == nil || len(attempt.Items) != len(outcomes) {
		return nil, attemptMismatchError(e.Number)
	}
	return attemptEnded{attempt, outcomes}, nil
}

// replayedListChanged converts a recorded report of an endpoint list; addresses are not recorded.
func (c *Core) replayedListChanged(e *capture.CoreEvent) event {
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
