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

// PlatformOptions are the options of a Platform.
type PlatformOptions struct {
	PageSize int                          // entries per page; default 50
	RatePerS float64                      // limit on calls within any second, above which calls get 429; default 0: unlimited
	Now      func() time.Time             // default time.Now
	Listen   func() (net.Listener, error) // default nil: a free port of 127.0.0.1
}

// Entry is one endpoint on the list, as GET /servers returns it.
type Entry struct {
	model.Endpoint
	Phase  string        `json:"phase,omitempty"`
	Models []ReportModel `json:"models,omitempty"`
}

// Platform serves the list of endpoints at GET /servers, in pages.
type Platform struct {
	options  PlatformOptions
	server   *http.Server
	listener net.Listener
	served   sync.WaitGroup

	mutex       sync.Mutex // guards all fields below
	entries     []Entry
	down        bool
	calls       int
	rateLimited int
	recent      []time.Time // of the calls accepted within the last second
}

// NewPlatform starts a platform with an empty list, which runs until Close. Its errors are those of Listen.
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

// Close stops the platform and waits until its server has ended.
func (p *Platform) Close() {
	p.server.Close()
	p.served.Wait()
}

// Address returns host and port.
func (p *Platform) Address() string {
	return p.listener.Addr().String()
}

// Put adds an endpoint, or replaces the one with its ID.
func (p *Platform) Put(endpoint model.Endpoint) {
	p.PutEntry(Entry{Endpoint: endpoint})
}

// PutEntry is Put for an entry with a model server's phase and models.
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

// SetState changes the state of an endpoint; false means that the list has none with that ID.
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

// Remove removes an endpoint from the list, if it is there.
func (p *Platform) Remove(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at := p.indexLocked(id); at >= 0 {
		p.entries = slices.Delete(p.entries, at, at+1)
	}
}

// SetDown sets whether all calls fail with 503.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// Calls returns the number of calls so far, and how many of them exceeded the rate limit.
func (p *Platform) Calls() (all, rateLimited int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls, p.rateLimited
}

// indexLocked returns the index of the entry with an ID; -1: there is none.
func (p *Platform) indexLocked(id string) int {
	return slices.IndexFunc(p.entries, func(entry Entry) bool { return entry.ID == id })
}

// Reasons why a call gets no page. Their texts are the bodies of the responses.
var (
	errDown        = errors.New("down")
	errRateLimited = errors.New("over the rate")
	errUnknownPage = errors.New("unknown page")
)

// listResponse is the response to GET /servers.
type listResponse struct {
	Servers   []Entry `json:"servers"`
	NextToken *string `json:"nextToken"`
}

// list answers GET /servers.
func (p *Platform) list(response http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	page, err := p.page(query.Get("zone"), query.Get("pageToken"))
	switch {
	case errors.Is(err, errRateLimited):
		http.Error(response, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, errUnknownPage):
		http.Error(response, err.Error(), http.StatusBadRequest)
	case err != nil:
		http.Error(response, err.Error(), http.StatusServiceUnavailable)
	default:
		response.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(response).Encode(page)
	}
}

// page returns a page of the endpoints in a zone, or of all if it is empty. Its errors are errDown, errRateLimited and
// errUnknownPage.
func (p *Platform) page(zone, token string) (listResponse, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	if p.down {
		return listResponse{}, errDown
	}
	if !p.withinRateLocked() {
		p.rateLimited++
		return listResponse{}, errRateLimited
	}
	first, err := offset(token)
	if err != nil {
		return listResponse{}, err
	}
	matching := []Entry{}
	for _, entry := range p.entries {
		if zone == "" || entry.Zone == zone {
			matching = append(matching, entry)
		}
	}
	first = min(first, len(matching))
	last := min(first+p.options.PageSize, len(matching))
	response := listResponse{Servers: matching[first:last]}
	if last < len(matching) {
		next := fmt.Sprintf("p-%d", last)
		response.NextToken = &next
	}
	return response, nil
}

// withinRateLocked counts a call if the rate limit allows it.
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

// offset returns the index of the first entry of the page that a token stands for. Its error is errUnknownPage.
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
