package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
)

// Watch follows discovery's list of endpoints until the watch is lost; engine.ErrWatchTimeout: it came up and then fell silent.
func (f *Front) Watch(ctx context.Context, after int64, changed func(engine.EndpointList)) error {
	discovery := *f.discovery.Load()
	path := fmt.Sprintf("/discovery/hosts?watch=1&after=%d", after)
	stream, err := httpwire.OpenStream(ctx, discovery, httpwire.AppendRequest(nil, "GET", path, discovery, nil, nil), f.limits)
	if err != nil {
		return err
	}
	defer stream.Close()
	defer context.AfterFunc(ctx, stream.Close)()
	for {
		entry, err := f.nextEntry(stream)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return engine.ErrWatchTimeout
		case err != nil:
			return err
		case len(entry) == 0:
		case !gjson.ValidBytes(entry):
			return fmt.Errorf("platform: a change of %d bytes that is not JSON", len(entry))
		default:
			changed(ParseEndpointList(gjson.ParseBytes(entry)))
		}
	}
}

// nextEntry reads one entry of a watch, which may stand over several lines; an empty line is an empty one. An entry that has begun must
// be complete before the watch would count as silent: empty lines in its middle are no sign of life.
func (f *Front) nextEntry(stream *httpwire.Stream) ([]byte, error) {
	by := time.Now().Add(f.limits.WatchTimeout)
	entry, err := stream.Next(by)
	open := bracketDepth(entry)
	if open > 0 {
		entry = bytes.Clone(entry) // the next line takes its place
	}
	for err == nil && open > 0 {
		var line []byte
		if line, err = stream.Next(by); err == nil {
			entry, open = append(append(entry, '\n'), line...), open+bracketDepth(line)
		}
		if len(entry) > 16*f.limits.BodySize {
			err = fmt.Errorf("platform: a change of over %d bytes", 16*f.limits.BodySize)
		}
	}
	return bytes.TrimSpace(entry), err
}

// ParseEndpointList reads a list in discovery's form.
func ParseEndpointList(list gjson.Result) engine.EndpointList {
	p := engine.EndpointList{Index: list.Get("index").Int(), Complete: list.Get("snapshot").Bool()}
	list.Get("endpoints").ForEach(func(_, e gjson.Result) bool {
		d := engine.Destination{Name: e.Get("name").String(), Address: e.Get("address").String(), Zone: e.Get("zone").String(),
			Kind: e.Get("type").String(), Partner: int(e.Get("group").Int()), Weight: e.Get("weight").Float()}
		switch e.Get("status").String() {
		case "ready":
		case "gone":
			d.State = control.Removed
		default:
			d.State = control.Draining
		}
		p.Destinations = append(p.Destinations, d)
		return true
	})
	return p
}

// bracketDepth is how many more brackets a line of JSON opens than it closes.
func bracketDepth(line []byte) (open int) {
	text := false
	for i := 0; i < len(line); i++ {
		switch c := line[i]; {
		case text && c == '\\':
			i++
		case c == '"':
			text = !text
		case text:
		case c == '{' || c == '[':
			open++
		case c == '}' || c == ']':
			open--
		}
	}
	return open
}
