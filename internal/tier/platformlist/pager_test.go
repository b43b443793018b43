package platformlist

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
)

func endpoint(id string, state model.EndpointState) model.Endpoint {
	return model.Endpoint{ID: id, Service: "s", Address: "10.0.0.1:" + id, State: state}
}

func read(endpoints ...model.Endpoint) map[string]model.Endpoint {
	found := map[string]model.Endpoint{}
	for _, e := range endpoints {
		found[e.ID] = e
	}
	return found
}

func TestPager(t *testing.T) {
	second, first := "p-2", ""
	cases := []struct {
		name    string
		pages   []page
		want    map[string]model.Endpoint
		done    bool
		wantErr error
	}{
		{name: "one page", pages: []page{{Servers: []model.Endpoint{endpoint("1", model.Ready)}}},
			want: read(endpoint("1", model.Ready)), done: true},
		{name: "an empty token ends the list", pages: []page{{NextToken: &first}}, want: read(), done: true},
		{name: "an endpoint on two pages, draining on either",
			pages: []page{
				{Servers: []model.Endpoint{endpoint("1", model.Draining), endpoint("2", model.Ready)}, NextToken: &second},
				{Servers: []model.Endpoint{endpoint("1", model.Ready), endpoint("2", model.Draining)}},
			},
			want: read(endpoint("1", model.Draining), endpoint("2", model.Draining)), done: true},
		{name: "an entry without ID and address", pages: []page{{Servers: []model.Endpoint{{Service: "s"}}}}, want: read(), done: true},
		{name: "not the last page", pages: []page{{NextToken: &second}}, want: read()},
		{name: "a page that leads to itself", pages: []page{{NextToken: &second}, {NextToken: &second}}, want: read(), wantErr: ErrEndlessList},
		{name: "too many entries on all pages", pages: []page{{Entries: maxEntries, NextToken: &second}, {Entries: 1}}, want: read(), wantErr: ErrListTooLarge},
		{name: "too many bytes on all pages", pages: []page{{Bytes: maxListBytes, NextToken: &second}, {Bytes: 1}}, want: read(), wantErr: ErrListTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pager := newPager()
			var err error
			for _, next := range c.pages {
				err = pager.accept(next)
			}
			if !errors.Is(err, c.wantErr) || pager.done != c.done {
				t.Errorf("done %v, error %v", pager.done, err)
			}
			if diff := cmp.Diff(c.want, pager.found); diff != "" {
				t.Error(diff)
			}
		})
	}
}
