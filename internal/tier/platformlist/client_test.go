package platformlist

import (
	"errors"
	"strings"
	"testing"
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
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := decodePage(strings.NewReader(c.body)); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}
