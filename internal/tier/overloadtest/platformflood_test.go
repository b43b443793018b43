package overloadtest

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mastusher/internal/tier/localtier"
)

const (
	platformFloodTime = 5 * time.Second
	platformClients   = 4
)

// platformFlood answers one call for a page of the list, in place of the platform. page counts the calls.
type platformFlood func(w io.Writer, page int64)

// floodingPlatform passes calls on to a platform while no flood is in force.
type floodingPlatform struct {
	inner   string // address of the platform
	flood   atomic.Pointer[platformFlood]
	pages   atomic.Int64
	client  http.Client
	address string
}

// startFloodingPlatform starts a flooding platform before another one.
func startFloodingPlatform(t testing.TB, inner string) *floodingPlatform {
	t.Helper()
	p := &floodingPlatform{inner: inner}
	p.address = serveHTTP(t, p)
	return p
}

// ServeHTTP answers a call by the flood, or as the platform does.
func (p *floodingPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if flood := p.flood.Load(); flood != nil {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer connection.Close()
		(*flood)(connection, p.pages.Add(1))
		return
	}
	response, err := p.client.Get("http://" + p.inner + r.RequestURI)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// sendPage sends a page whose entries are written by next until it returns false. more says that another page follows.
func sendPage(w io.Writer, more int64, next func(entries *bytes.Buffer, number int) bool) {
	token := "null"
	if more > 0 {
		token = fmt.Sprintf(`"page-%d"`, more)
	}
	if _, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+`{"nextToken":`+token+`,"servers":[`); err != nil {
		return
	}
	var entries bytes.Buffer
	for number := 0; next(&entries, number); number++ {
		entries.WriteByte(',')
		if entries.Len() < blockBytes {
			continue
		}
		if _, err := w.Write(entries.Bytes()); err != nil {
			return
		}
		entries.Reset()
	}
	_, _ = w.Write(entries.Bytes())
	_, _ = io.WriteString(w, "{}]}")
}

// entriesUpTo returns a writer of entries for sendPage, until a number of bytes or of entries has been written.
func entriesUpTo(totalBytes, count int, format func(number int) string) func(*bytes.Buffer, int) bool {
	written := 0
	return func(entries *bytes.Buffer, number int) bool {
		if written >= totalBytes || number >= count {
			return false
		}
		entry := format(number)
		written += len(entry) + 1
		entries.WriteString(entry)
		return true
	}
}

// The platform's list must not take a controller over its memory, or through the view any other process: entries take many times their bytes
// once they are decoded, pages follow each other without end, and names may have megabytes.
func TestPlatform_FloodsWithoutEnd_MemoryStaysWithinLimit(t *testing.T) {
	const pageBytes = 7 << 20
	bogus := func(page int64) func(int) string {
		return func(number int) string {
			return fmt.Sprintf(`{"id":"bogus-%d-%d","service":"other","address":"127.0.0.1:1","zone":"hall","number":"v1","capacity":1,"state":"ready"}`, page, number)
		}
	}
	long := strings.Repeat("x", 3<<20)
	floods := map[string]platformFlood{
		"empty entries": func(w io.Writer, _ int64) {
			sendPage(w, 0, entriesUpTo(pageBytes, math.MaxInt, func(int) string { return "{}" }))
		},
		"entries of one byte names, pages without end": func(w io.Writer, page int64) {
			sendPage(w, page, entriesUpTo(pageBytes, math.MaxInt, func(number int) string { return fmt.Sprintf(`{"id":"%x","address":"a"}`, int(page)<<32+number) }))
		},
		"entries, pages without end": func(w io.Writer, page int64) { sendPage(w, page, entriesUpTo(pageBytes, math.MaxInt, bogus(page))) },
		"one list of 60,000 entries": func(w io.Writer, _ int64) { sendPage(w, 0, entriesUpTo(math.MaxInt, 60_000, bogus(0))) },
		"one list of 16,000 entries": func(w io.Writer, _ int64) { sendPage(w, 0, entriesUpTo(math.MaxInt, 16_000, bogus(0))) },
		"long names": func(w io.Writer, page int64) {
			sendPage(w, page, entriesUpTo(math.MaxInt, 2, func(number int) string {
				return fmt.Sprintf(`{"id":"%d-%d-%s","service":"other","address":"127.0.0.1:1","state":"ready"}`, page, number, long)
			}))
		},
		"head without end": func(w io.Writer, _ int64) {
			repeatUntilError(w, "HTTP/1.1 200 OK\r\n", strings.Repeat("a:\r\n", 4<<10))
		},
		"body without end": func(w io.Writer, _ int64) {
			repeatUntilError(w, "HTTP/1.1 200 OK\r\n\r\n"+`{"servers":[{"id":"`, long)
		},
		"many small fields in the head": func(w io.Writer, _ int64) {
			repeatUntilError(w, "HTTP/1.1 200 OK\r\n"+manyFields(largeHeadBytes)+"\r\n"+`{"servers":[`, "{},")
		},
	}
	endpoints, inner := startFloodingEndpoints(t, 0)
	platform := startFloodingPlatform(t, inner.Address())
	f := &floodFixture{endpoints: endpoints,
		fixture: newFixtureFrom(t, platform.address, localtier.Counts{Core: 3, Storage: 3, Edge: 1}, limits())}
	for name, flood := range floods {
		t.Run(name, func(t *testing.T) {
			f.t = t
			platform.flood.Store(&flood)
			f.runFor(platformFloodTime, platformClients, f.floodedRequest, func() { platform.flood.Store(nil) })
		})
	}
}

// repeatUntilError writes a text once, and another one until that fails.
func repeatUntilError(w io.Writer, once, again string) {
	_, err := io.WriteString(w, once)
	for err == nil {
		_, err = io.WriteString(w, again)
	}
}
