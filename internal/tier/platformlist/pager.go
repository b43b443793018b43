package platformlist

import (
	"fmt"

	"mastusher/internal/tier/model"
)

// Bounds of one read. They are at least three times the target size (docs/CAPACITY.md), for the list is kept in every process.
const (
	maxPages      = 4096
	maxEntries    = 16384
	maxListBytes  = 8 << 20
	maxNameBytes  = 256 // of an endpoint's id, service, address, zone, version or state
	maxTokenBytes = 4 << 10
)

// pager collects the pages of one read.
type pager struct {
	token   string // of the next page; empty for the first page
	pages   int
	entries int
	bytes   int
	done    bool
	found   map[string]model.Endpoint // by ID
}

func newPager() *pager {
	return &pager{found: map[string]model.Endpoint{}}
}

// accept adds the page of the current token. An endpoint that moves between pages may occur twice: the later entry replaces the
// earlier one, except that a draining endpoint stays draining. accept returns ErrEndlessList if a page leads to itself or there are
// too many pages, and ErrListTooLarge if the pages so far have too many entries or bytes.
func (p *pager) accept(next page) error {
	p.pages++
	p.entries += next.Entries
	p.bytes += next.Bytes
	if p.entries > maxEntries || p.bytes > maxListBytes {
		return fmt.Errorf("%w: %d entries and %d bytes on %d pages, want at most %d and %d", ErrListTooLarge, p.entries, p.bytes, p.pages,
			maxEntries, maxListBytes)
	}
	for _, endpoint := range next.Servers {
		if !identifiesEndpoint(&endpoint) {
			continue
		}
		if p.found[endpoint.ID].State == model.Draining {
			endpoint.State = model.Draining
		}
		p.found[endpoint.ID] = endpoint
	}
	if next.NextToken == nil || *next.NextToken == "" {
		p.done = true
		return nil
	}
	if *next.NextToken == p.token || p.pages >= maxPages {
		return fmt.Errorf("%w: page %d leads to %q", ErrEndlessList, p.pages, *next.NextToken)
	}
	p.token = *next.NextToken
	return nil
}
