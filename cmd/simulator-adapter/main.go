// Command simulator-adapter runs the decision module (package control) for an external simulator: it reads batches of records on
// standard input (package wire), translates them to events, and writes the actions to standard output. It decides nothing itself and
// is single-threaded: a batch is answered before the next one is read.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/pflag"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/wire"
)

func main() {
	record := pflag.String("record", "", "folder for a capture of each instance, which mastusher replay reads")
	pflag.Parse()
	if err := run(os.Stdin, os.Stdout, *record); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}

// instance is one sender with its events of the current batch.
type instance struct {
	id      uint16
	sender  *control.Sender
	reports wire.Reports
	weight  func(float64) float64 // calls a second that a weight of the list stands for
	events  []control.Event
	touched bool
	capture *capture.Writer // nil: none is written
}

// adapter holds the instances and endpoint lists of one process.
type adapter struct {
	instances  map[uint16]*instance
	lists      map[uint8][]wire.Member
	touched    []*instance // those with events in this batch, in order of appearance
	reply      wire.Reply
	actions    []control.Action
	now        time.Duration
	captureDir string // folder; "": none
	captures   int
}

// run serves a simulator until its input ends.
func run(in io.Reader, out io.Writer, record string) (err error) {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	l := &adapter{instances: map[uint16]*instance{}, lists: map[uint8][]wire.Member{}, captureDir: record}
	defer func() {
		for _, i := range l.instances {
			err = errors.Join(err, i.closeCapture())
		}
	}()
	var buf []byte
	for {
		var b wire.Batch
		var err error
		if b, buf, err = wire.ReadBatch(r, buf); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := l.handleBatch(&b); err != nil {
			return fmt.Errorf("batch %d: %w", b.Seq, err)
		}
		if _, err := w.Write(l.reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch steps each instance with its events, in order of appearance, and writes their actions to the reply.
func (l *adapter) handleBatch(b *wire.Batch) error {
	l.now = time.Duration(b.Clock) * time.Microsecond
	l.reply.Begin(b.Seq)
	var current *instance // that the last Context names
	for i := range b.Records {
		rec := &b.Records[i]
		switch rec.Code {
		case wire.EvContext:
			current = l.instance(rec.Instance)
			continue
		case wire.EvList:
			l.lists[rec.Roster] = rec.Members
			continue
		}
		err := errNoContext
		if current != nil {
			err = l.handleRecord(current, rec)
		}
		if err != nil {
			return &recordError{index: i, code: rec.Code, err: err}
		}
	}
	return l.stepTouched()
}

// instance returns the instance of an id, a new one if there is none.
func (l *adapter) instance(id uint16) *instance {
	in := l.instances[id]
	if in == nil {
		in = &instance{id: id}
		l.instances[id] = in
	}
	return in
}

// stepTouched steps the instances that have events in this batch.
func (l *adapter) stepTouched() error {
	for _, in := range l.touched {
		in.touched = false
		if in.sender != nil && len(in.events) > 0 {
			l.actions = in.sender.Step(l.now, in.events, l.actions[:0])
			if in.capture != nil {
				if err := in.capture.Turn(l.now, in.events, l.actions); err != nil {
					return err
				}
			}
			l.writeActions(in.id, l.actions)
		}
		in.events = in.events[:0]
	}
	l.touched = l.touched[:0]
	return nil
}

// handleRecord starts or ends an instance, or appends the event that a record stands for.
func (l *adapter) handleRecord(in *instance, rec *wire.Record) error {
	switch rec.Code {
	case wire.EvHello:
		return l.startInstance(in, rec)
	case wire.EvKilled:
		in.sender, in.events = nil, in.events[:0]
		return in.closeCapture()
	}
	ev, known, err := l.toEvent(in, rec)
	if err != nil || !known {
		return err
	}
	if in.events = append(in.events, ev); !in.touched {
		in.touched = true
		l.touched = append(l.touched, in)
	}
	return nil
}

// startInstance starts an instance with the settings of a Hello, anew if it ran, and its capture if captures are written.
func (l *adapter) startInstance(in *instance, rec *wire.Record) error {
	settings, err := wire.ParseSettings(rec.Setup)
	if err != nil {
		return err
	}
	sender, err := control.New(settings.Settings, rec.Seed)
	if err != nil {
		return fmt.Errorf("field setup: %w", err)
	}
	in.sender, in.reports, in.weight, in.events = sender, settings.Reports, settings.Weight, in.events[:0]
	if err = in.closeCapture(); err != nil || l.captureDir == "" {
		return err
	}
	l.captures++
	in.capture, err = capture.Create(filepath.Join(l.captureDir, fmt.Sprintf("sim-%d-%04d-%d%s", os.Getpid(), l.captures, in.id, capture.Ext)),
		capture.Begin{Relay: fmt.Sprint("instance ", in.id), Clock: l.now, Seed: rec.Seed, Settings: settings.Settings})
	return err
}

// toEvent translates a record; false: it is of a kind that the decision module has no event for.
func (l *adapter) toEvent(inst *instance, rec *wire.Record) (control.Event, bool, error) {
	event := control.Event{ID: rec.Ticket}
	switch rec.Code {
	case wire.EvFleet:
		if rec.Mode == wire.ModeFailed {
			event.Kind = control.ListFailed
			break
		}
		event.Kind, event.Complete = control.Listed, rec.Mode != wire.ModeDelta
		members, ok := l.lists[rec.Roster]
		if !ok {
			return event, false, &unknownListError{list: rec.Roster}
		}
		for _, m := range members {
			event.Endpoints = append(event.Endpoints, toEndpoint(m, inst.weight))
		}
	case wire.EvQuery:
		event.Kind, event.Destination, event.Class = control.Arrived, int(rec.Node), int(rec.Category)
		event.Tenant, event.Key = int(rec.UserGroup), rec.NameKey
		event.Deadline = time.Duration(rec.NotAfter) * time.Microsecond
		event.Resubmitted = rec.Flags&(wire.FlagRetry|wire.FlagTakenOver) != 0
	case wire.EvResolved:
		event.Kind, event.Attempt, event.Endpoint = control.Resolved, int(rec.Try), rec.Target
		event.Result, event.Final = callResult(rec.Status), rec.Settled != 0
		event.Elapsed = time.Duration(rec.WaitTime) * time.Microsecond
		if event.Result == control.Throttled {
			event.RetryAfter = time.Duration(rec.Detail) * time.Millisecond
		}
		if share, limit := inst.reports.Share, inst.reports.Limit; share >= 0 && limit >= 0 && max(share, limit) < len(rec.Gauge) {
			event.Reported, event.Remaining, event.Limit = true, float64(rec.Gauge[share]), float64(rec.Gauge[limit])
		}
	case wire.EvAbandoned:
		event.Kind = control.Withdrawn
	case wire.EvWake:
		event.Kind = control.Woken
	default:
		return event, false, nil
	}
	return event, true, nil
}

// toEndpoint translates a member of a list.
func toEndpoint(m wire.Member, weight func(float64) float64) control.Endpoint {
	e := control.Endpoint{ID: m.Target, Zone: int(m.Site), Kind: int(m.Kind), Destination: int(m.Destination), Weight: weight(float64(m.Units))}
	switch m.Condition {
	case 0:
	case 3:
		e.State = control.Removed
	default:
		e.State = control.Draining
	}
	return e
}

// closeCapture completes the capture of an instance, if there is one.
func (in *instance) closeCapture() error {
	if in.capture == nil {
		return nil
	}
	rec := in.capture
	in.capture = nil
	return rec.Close()
}

// callResult translates the status of an attempt.
func callResult(status uint16) control.Result {
	switch status {
	case 0:
		return control.Delivered
	case 255:
		return control.Errored
	case 254:
		return control.Throttled
	case 253:
		return control.TimedOut
	case 252:
		return control.NoConnection
	case 251:
		return control.Reset
	case 250:
		return control.Cancelled
	case 249:
		return control.NotProcessed
	}
	return control.Unknown
}

// writeActions appends the actions of an instance to the reply.
func (l *adapter) writeActions(id uint16, actions []control.Action) {
	if len(actions) == 0 {
		return
	}
	l.reply.As(id)
	for _, a := range actions {
		switch a.Kind {
		case control.Send:
			l.reply.Assign(a.ID, a.Endpoint, uint32(a.For/time.Microsecond))
		case control.Refuse:
			l.reply.Decline(a.ID, uint32(a.For/time.Microsecond))
		case control.Fail:
			l.reply.DropRequest(a.ID)
		case control.Cancel:
			l.reply.DropAttempt(a.ID, uint8(a.Attempt))
		case control.Wake:
			l.reply.Defer(uint64(a.At/time.Microsecond), 0)
		case control.Subscribe:
			l.reply.Follow(true)
		case control.Close:
			l.reply.FreeLinks(a.Endpoint)
		case control.Log:
			l.reply.Log(a.Text)
		}
	}
}
