package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mastusher/internal/tier/model"
)

// PlatformOptions describes the platform's list.
type PlatformOptions struct {
	PageSize int                          // 50 if 0
	RatePerS float64                      // calls in any second; 0: no bound
	Now      func() time.Time             // time.Now if nil
	Listen   func() (net.Listener, error) // nil: at a loopback address
}

// Entry is one endpoint on the list.
type Entry struct {
	model.Endpoint
	Phase  string        `json:"phase,omitempty"`
	Models []ReportModel `json:"models,omitempty"`
}

// Platform serves the list of endpoints.
type Platform struct {
	options  PlatformOptions
	server   *http.Server
	listener net.Listener
	served   sync.WaitGroup

	mutex   sync.Mutex
	entries []Entry
	down    bool
	calls   int
	refused int
	recent  []time.Time // calls taken within the last second
}

// NewPlatform starts one with an empty list.
func NewPlatform(options PlatformOptions) (*Platform, error) {
	if options.PageSize <= 0 {
		options.PageSize = defaultPageSize
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	listener, err := listenBy(options.Listen)
	if err != nil {
		return nil, err
	}
	started := &Platform{options: options, listener: listener}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /servers", started.list)
	started.server = &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	started.served.Go(func() { _ = started.server.Serve(listener) })
	return started, nil
}

// Close stops it.
func (p *Platform) Close() {
	p.server.Close()
	p.served.Wait()
}

// Address gives host and port.
func (p *Platform) Address() string {
	return p.listener.Addr().String()
}

// Put adds an endpoint, or replaces the one with its id.
func (p *Platform) Put(endpoint model.Endpoint) {
	p.PutEntry(Entry{Endpoint: endpoint})
}

// PutEntry is Put for an entry that tells more.
func (p *Platform) PutEntry(entry Entry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := p.indexLocked(entry.ID)
	if at < 0 {
		p.entries = append(p.entries, entry)
		return
	}
	p.entries[at] = entry
}

// SetState changes the state of an endpoint; false means that there is none of that id.
func (p *Platform) SetState(id string, state model.EndpointState) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := p.indexLocked(id)
	if at < 0 {
		return false
	}
	p.entries[at].State = state
	return true
}

// Remove takes an endpoint off the list.
func (p *Platform) Remove(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at := p.indexLocked(id); at >= 0 {
		p.entries = slices.Delete(p.entries, at, at+1)
	}
}

// SetDown makes all calls fail with 503, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// Calls gives the calls so far and those of them that were over the rate.
func (p *Platform) Calls() (all, overRate int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls, p.refused
}

func (p *Platform) indexLocked(id string) int {
	return slices.IndexFunc(p.entries, func(entry Entry) bool { return entry.ID == id })
}

var (
	errDown        = errors.New("down")
	errOverRate    = errors.New("over the rate")
	errUnknownPage = errors.New("unknown page")
)

type listAnswer struct {
	Servers   []Entry `json:"servers"`
	NextToken *string `json:"nextToken"`
}

func (p *Platform) list(response http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	answer, err := p.page(query.Get("zone"), query.Get("pageToken"))
	switch {
	case errors.Is(err, errOverRate):
		http.Error(response, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, errUnknownPage):
		http.Error(response, err.Error(), http.StatusBadRequest)
	case err != nil:
		http.Error(response, err.Error(), http.StatusServiceUnavailable)
	default:
		response.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(response).Encode(answer)
	}
}

func (p *Platform) page(zone, token string) (listAnswer, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	if p.down {
		return listAnswer{}, errDown
	}
	if !p.withinRateLocked() {
		p.refused++
		return listAnswer{}, errOverRate
	}
	first, err := offset(token)
	if err != nil {
		return listAnswer{}, err
	}
	matching := []Entry{}
	for _, entry := range p.entries {
		if zone == "" || entry.Zone == zone {
			matching = append(matching, entry)
		}
	}
	first = min(first, len(matching))
	last := min(first+p.options.PageSize, len(matching))
	answer := listAnswer{Servers: matching[first:last]}
	if last < len(matching) {
		next := fmt.Sprintf("p-%d", last)
		answer.NextToken = &next
	}
	return answer, nil
}

func (p *Platform) withinRateLocked() bool {
	if p.options.RatePerS <= 0 {
		return true
	}
	now := p.options.Now()
	p.recent = slices.DeleteFunc(p.recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if float64(len(p.recent)+1) > max(1, p.options.RatePerS) {
		return false
	}
	p.recent = append(p.recent, now)
	return true
}

func offset(token string) (int, error) {
	if token == "" {
		return 0, nil
	}
	text, ok := strings.CutPrefix(token, "p-")
	first, err := strconv.Atoi(text)
	if !ok || err != nil || first < 0 {
		return 0, errUnknownPage
	}
	return first, nil
}
