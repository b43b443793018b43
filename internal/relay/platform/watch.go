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

// MalformedEntryError reports an entry of a watch that is not valid JSON.
type MalformedEntryError struct{ Bytes int }

// Error names the entry's size.
func (e MalformedEntryError) Error() string {
	return fmt.Sprintf("platform: watch entry of %d bytes is not valid JSON", e.Bytes)
}

// EntrySizeError reports an entry of a watch that is larger than Limit, in bytes.
type EntrySizeError struct{ Limit int }

// Error names the limit.
func (e EntrySizeError) Error() string {
	return fmt.Sprintf("platform: watch entry exceeds %d bytes", e.Limit)
}

// maxEntryBodies is the largest size of a watch entry, as a multiple of Limits.BodySize: a complete list contains all endpoints.
const maxEntryBodies = 16

// Watch implements engine.Front: it watches discovery's endpoint list. It returns engine.ErrWatchTimeout if the established watch was
// silent for Limits.WatchTimeout, a MalformedEntryError or an EntrySizeError for an unusable entry, or the connection's error.
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
			return MalformedEntryError{Bytes: len(entry)}
		default:
			changed(ParseEndpointList(gjson.ParseBytes(entry)))
		}
	}
}

// nextEntry reads one entry of a watch, which may span several lines; an empty line between entries is an empty entry. Each entry must be
// complete within Limits.WatchTimeout: empty lines within an entry do not extend that.
func (f *Front) nextEntry(stream *httpwire.Stream) ([]byte, error) {
	deadline := time.Now().Add(f.limits.WatchTimeout)
	entry, err := stream.Next(deadline)
	open := bracketDepth(entry)
	if open > 0 {
		entry = bytes.Clone(entry) // reading the next line overwrites it
	}
	for err == nil && open > 0 {
		var line []byte
		if line, err = stream.Next(deadline); err == nil {
			entry, open = append(append(entry, '\n'), line...), open+bracketDepth(line)
		}
		if limit := maxEntryBodies * f.limits.BodySize; len(entry) > limit {
			err = EntrySizeError{Limit: limit}
		}
	}
	return bytes.TrimSpace(entry), err
}

// ParseEndpointList converts an entry of discovery, which must be valid JSON. An unknown status counts as draining.
func ParseEndpointList(list gjson.Result) engine.EndpointList {
	parsed := engine.EndpointList{Index: list.Get("index").Int(), Complete: list.Get("snapshot").Bool()}
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
		parsed.Destinations = append(parsed.Destinations, d)
		return true
	})
	return parsed
}

// bracketDepth returns how many more brackets a line of JSON opens than it closes, outside strings.
func bracketDepth(line []byte) (open int) {
	inString := false
	for i := 0; i < len(line); i++ {
		switch c := line[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			open++
		case c == '}' || c == ']':
			open--
		}
	}
	return open
}
