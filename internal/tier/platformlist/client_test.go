package platformlist

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
)

func TestDecodePage_NoPage_NamesCause(t *testing.T) {
	cases := []struct {
		name string
		body string
		want error
	}{
		{name: "truncated page", body: `{"servers":[{"id":`, want: ErrMalformedPage},
		{name: "field servers missing", body: `{}`, want: ErrMalformedPage},
		{name: "over the size limit", body: strings.Repeat(" ", maxPageBytes+1), want: ErrPageTooLarge},
		{name: "no servers", body: `{"servers":[]}`},
		{name: "servers is null", body: `{"servers":null}`, want: ErrMalformedPage},
		{name: "servers is no list", body: `{"servers":{}}`, want: ErrMalformedPage},
		{name: "an entry is no object", body: `{"servers":[1]}`, want: ErrMalformedPage},
		{name: "a list in place of the page", body: `[]`, want: ErrMalformedPage},
		{name: "text after the page", body: `{"servers":[]}{}`, want: ErrMalformedPage},
		{name: "no text", body: ``, want: ErrMalformedPage},
		{name: "a token that is too long", body: `{"servers":[],"nextToken":"` + strings.Repeat("t", maxTokenBytes+1) + `"}`, want: ErrMalformedPage},
		{name: "as many entries as are allowed", body: `{"servers":[{}` + strings.Repeat(",{}", maxEntries-1) + `]}`},
		{name: "one entry more", body: `{"servers":[{}` + strings.Repeat(",{}", maxEntries) + `]}`, want: ErrListTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := decodePage(strings.NewReader(c.body)); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func TestDecodePage_EntriesAndOtherFields_KeepsEndpoints(t *testing.T) {
	longest := strings.Repeat("n", maxNameBytes)
	body := `{"other":[{"servers":[1]}],"NextToken":"p-2","Servers":[
		{"id":"1","service":"s","address":"a:1","zone":"z","number":"v1","capacity":2,"state":"ready","coldLeftMs":3,"models":[{"name":"m"}]},
		{"service":"s"}, {"id":"2"}, {"address":"a:3"},
		{"id":"` + longest + `","address":"a:4"}, {"id":"x` + longest + `","address":"a:5"}]}`
	decoded, err := decodePage(strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	want := []model.Endpoint{{ID: "1", Service: "s", Address: "a:1", Zone: "z", Version: "v1", Capacity: 2, State: model.Ready, WarmUpLeftMs: 3},
		{ID: longest, Address: "a:4"}}
	if diff := cmp.Diff(want, decoded.Servers); diff != "" {
		t.Error(diff)
	}
	if *decoded.NextToken != "p-2" || decoded.Entries != 6 || decoded.Bytes != len(body) {
		t.Errorf("token %q, %d entries, %d bytes, want p-2, 6, %d", *decoded.NextToken, decoded.Entries, decoded.Bytes, len(body))
	}
}

func TestDecodePage_BodyFails_ReturnsItsError(t *testing.T) {
	cut := errors.New("cut")
	_, err := decodePage(io.MultiReader(strings.NewReader(`{"servers":[`), iotest.ErrReader(cut)))
	if !errors.Is(err, cut) || errors.Is(err, ErrMalformedPage) {
		t.Errorf("error %v, want %v", err, cut)
	}
}
