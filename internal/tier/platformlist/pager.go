package platformlist

import (
	"fmt"

	"mastusher/internal/tier/model"
)

// maxPages bounds the pages of one read.
const maxPages = 4096

// page is one response of the platform.
type page struct {
	Servers   []model.Endpoint `json:"servers"`
	NextToken *string          `json:"nextToken"` // nil or empty: the last page
}

// pager collects the pages of one read.
type pager struct {
	token string // of the next page; empty for the first page
	pages int
	done  bool
	found map[string]model.Endpoint // by ID
}

func newPager() *pager {
	return &pager{found: map[string]model.Endpoint{}}
}

// accept adds the page of the current token. An endpoint that moves between pages may occur twice: the later entry replaces the
// earlier one, except that a draining endpoint stays draining. accept returns ErrEndlessList if a page leads to itself or there are
// too many pages.
func (p *pager) accept(next page) error {
	p.pages++
	for _, endpoint := range next.Servers {
		if endpoint.ID == "" || endpoint.Address == "" {
			continue // the entry does not identify an endpoint
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
