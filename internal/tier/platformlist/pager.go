package platformlist

import (
	"fmt"

	"mastusher/internal/tier/model"
)

// page is one answer of the platform.
type page struct {
	Servers   []model.Endpoint `json:"servers"`
	NextToken *string          `json:"nextToken"`
}

// pager collects the pages of one read. It is pure.
type pager struct {
	token string // of the page to ask for; empty for the first
	pages int
	done  bool
	found map[string]model.Endpoint
}

func newPager() *pager {
	return &pager{found: map[string]model.Endpoint{}}
}

// accept takes the page that was asked for. Endpoints that move between pages may come twice: the later entry is the
// newer one, except that one seen draining stays so.
func (p *pager) accept(answer page) error {
	p.pages++
	for _, endpoint := range answer.Servers {
		if endpoint.ID == "" || endpoint.Address == "" {
			continue // nothing can be sent to it
		}
		if p.found[endpoint.ID].State == model.Draining {
			endpoint.State = model.Draining
		}
		p.found[endpoint.ID] = endpoint
	}
	if answer.NextToken == nil || *answer.NextToken == "" {
		p.done = true
		return nil
	}
	if *answer.NextToken == p.token || p.pages >= maxPages {
		return fmt.Errorf("list of endpoints has no end: page %d leads to %q", p.pages, *answer.NextToken)
	}
	p.token = *answer.NextToken
	return nil
}
