// Command simulator-adapter runs the decision module (package control) for an external simulator: it reads batches of records (package
// wire) from standard input, translates them to events, and writes the actions to standard output. It makes no decisions itself and is
// single-threaded: it answers a batch before it reads the next one.
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

// instance is one sender with its events from the current batch.
type instance struct {
	id      uint16
	sender  *control.Sender
	reports wire.Reports
	weight  func(float64) float64 // converts a weight in the endpoint list to calls per second
	events  []control.Event
	touched bool            // has events in the current batch
	capture *capture.Writer // nil: no capture is written
}

// adapter holds the instances and endpoint lists of one process.
type adapter struct {
	instances  map[uint16]*instance
	lists      map[uint8][]wire.Member // endpoint lists, by the number that the simulator gave them
	touched    []*instance             // instances with events in the current batch, in order of appearance
	reply      wire.Reply
	actions    []control.Action
	now        time.Duration
	captureDir string // "": no captures are written
	captures   int    // number of captures created
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer, record string) (err error) {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	a := &adapter{instances: map[uint16]*instance{}, lists: map[uint8][]wire.Member{}, captureDir: record}
	defer func() {
		for _, i := range a.instances {
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
		if err := a.handleBatch(&b); err != nil {
			return fmt.Errorf("batch %d: %w", b.Seq, err)
		}
		if _, err := w.Write(a.reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch steps each instance with its events, in order of appearance, and writes the actions to the reply.
func (a *adapter) handleBatch(b *wire.Batch) error {
	a.now = time.Duration(b.Clock) * time.Microsecond
	a.reply.Begin(b.Seq)
	var current *instance // named by the last Context record
	for i := range b.Records {
		rec := &b.Records[i]
		switch rec.Code {
		case wire.EvContext:
			current = a.instance(rec.Instance)
			continue
		case wire.EvList:
			a.lists[rec.Roster] = rec.Members
			continue
		}
		err := errNoContext
		if current != nil {
			err = a.handleRecord(current, rec)
		}
		if err != nil {
			return &recordError{index: i, code: rec.Code, err: err}
		}
	}
	return a.stepTouched()
}

// instance returns the instance with an id, and creates it if it does not exist.
func (a *adapter) instance(id uint16) *instance {
	in := a.instances[id]
	if in == nil {
		in = &instance{id: id}
		a.instances[id] = in
	}
	return in
}

// stepTouched steps the instances that have events in the current batch.
func (a *adapter) stepTouched() error {
	for _, in := range a.touched {
		in.touched = false
		if in.sender != nil && len(in.events) > 0 {
			a.actions = in.sender.Step(a.now, in.events, a.actions[:0])
			if in.capture != nil {
				if err := in.capture.Turn(a.now, in.events, a.actions); err != nil {
					return err
				}
			}
			a.writeActions(in.id, a.actions)
		}
		in.events = in.events[:0]
	}
	a.touched = a.touched[:0]
	return nil
}

// handleRecord starts or ends an instance, or appends the event that a record describes.
func (a *adapter) handleRecord(in *instance, rec *wire.Record) error {
	switch rec.Code {
	case wire.EvHello:
		return a.startInstance(in, rec)
	case wire.EvKilled:
		in.sender, in.events = nil, in.events[:0]
		return in.closeCapture()
	}
	ev, known, err := a.toEvent(in, rec)
	if err != nil || !known {
		return err
	}
	if in.events = append(in.events, ev); !in.touched {
		in.touched = true
		a.touched = append(a.touched, in)
	}
	return nil
}

// startInstance starts an instance with the settings of a Hello record, or restarts it, and starts its capture if captures are written.
func (a *adapter) startInstance(in *instance, rec *wire.Record) error {
	settings, err := wire.ParseSettings(rec.Setup)
	if err != nil {
		return err
	}
	sender, err := control.New(settings.Settings, rec.Seed)
	if err != nil {
		return fmt.Errorf("field setup: invalid settings: %w", err)
	}
	in.sender, in.reports, in.weight, in.events = sender, settings.Reports, settings.Weight, in.events[:0]
	if err = in.closeCapture(); err != nil || a.captureDir == "" {
		return err
	}
	a.captures++
	in.capture, err = capture.Create(filepath.Join(a.captureDir, fmt.Sprintf("sim-%d-%04d-%d%s", os.Getpid(), a.captures, in.id, capture.Ext)),
		capture.Begin{Relay: fmt.Sprint("instance ", in.id), Clock: a.now, Seed: rec.Seed, Settings: settings.Settings})
	return err
}

// toEvent translates a record to an event; false: the decision module has no event for records of this code.
func (a *adapter) toEvent(inst *instance, rec *wire.Record) (control.Event, bool, error) {
	event := control.Event{ID: rec.Ticket}
	switch rec.Code {
	case wire.EvFleet:
		if rec.Mode == wire.ModeFailed {
			event.Kind = control.ListFailed
			break
		}
		event.Kind, event.Complete = control.Listed, rec.Mode != wire.ModeDelta
		members, ok := a.lists[rec.Roster]
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

// toEndpoint translates a member of an endpoint list; weight converts its weight to calls per second.
func toEndpoint(m wire.Member, weight func(float64) float64) control.Endpoint {
	e := control.Endpoint{ID: m.Target, Zone: int(m.Site), Kind: int(m.Kind), Destination: int(m.Destination), ListedLimit: weight(float64(m.Units))}
	switch m.Condition {
	case 0:
	case 3:
		e.State = control.Removed
	default:
		e.State = control.Draining
	}
	return e
}

// closeCapture completes the capture of an instance, if one is written.
func (in *instance) closeCapture() error {
	if in.capture == nil {
		return nil
	}
	writer := in.capture
	in.capture = nil
	return writer.Close()
}

// callResult translates the status of an attempt; a status that is not known is control.Unknown.
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
func (a *adapter) writeActions(id uint16, actions []control.Action) {
	if len(actions) == 0 {
		return
	}
	a.reply.As(id)
	for _, action := range actions {
		switch action.Kind {
		case control.Send:
			a.reply.Assign(action.ID, action.Endpoint, uint32(action.Duration/time.Microsecond))
		case control.Refuse:
			a.reply.Decline(action.ID, uint32(action.Duration/time.Microsecond))
		case control.Fail:
			a.reply.DropRequest(action.ID)
		case control.Cancel:
			a.reply.DropAttempt(action.ID, uint8(action.Attempt))
		case control.Wake:
			a.reply.Defer(uint64(action.At/time.Microsecond), 0)
		case control.Subscribe:
			a.reply.Follow(true)
		case control.Close:
			a.reply.FreeLinks(action.Endpoint)
		case control.Log:
			a.reply.Log(action.Text)
		}
	}
}
