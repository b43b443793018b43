package httphead

import (
	"fmt"
	"strings"
	"testing"
)

func TestMeter_AnySplit_CountsFieldsUntilTheHeadEnds(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		fields int
		bytes  int
		ended  bool
	}{
		{"ordinary head, then a body", "HTTP/1.1 200 OK\r\nA: 1\r\n\r\nbody\nb: c\n", 3, 25, true},
		{"bare line feeds", "HTTP/1.1 200 OK\nA: 1\n\nbody", 3, 22, true},
		{"incomplete", "HTTP/1.1 200 OK\r\nA: 1\r\n", 2, 23, false},
		{"names of trailers", "HTTP/1.1 200 OK\r\nTRAILER: a,b,c\r\n\r\n", 5, 35, true},
		{"names of trailers on two lines", "HTTP/1.1 200 OK\r\nTrailer: a,b,\r\n c,d\r\n\r\n", 7, 40, true},
		{"connection options", "HTTP/1.1 200 OK\r\nconnection: a,b\r\n\r\n", 4, 36, true},
		{"commas elsewhere", "HTTP/1.1 200 OK\r\nTrailers: a,b,c\r\nDate: Mon, 1\r\n\r\n", 4, 50, true},
		{"no line feed", strings.Repeat("x", 5000), 0, 5000, false},
	}
	for _, test := range cases {
		for _, size := range []int{1, 3, len(test.text)} {
			t.Run(fmt.Sprintf("%s by %d", test.name, size), func(t *testing.T) {
				var meter Meter
				for rest := test.text; len(rest) > 0; rest = rest[min(size, len(rest)):] {
					meter.Add([]byte(rest[:min(size, len(rest))]))
				}
				if meter.fields != test.fields || meter.bytes != test.bytes || meter.ended != test.ended {
					t.Errorf("%d fields, %d bytes, ended %v, want %d, %d, %v", meter.fields, meter.bytes, meter.ended, test.fields, test.bytes, test.ended)
				}
			})
		}
	}
}

func TestMeter_Memory_CountsWhatExceedsAnOrdinaryHead(t *testing.T) {
	cases := []struct {
		name string
		text string
		want int64
	}{
		{"ordinary head", "GET / HTTP/1.1\r\n" + strings.Repeat("A: 1\r\n", freeHeadFields-2), 0},
		{"long line", strings.Repeat("x", freeHeadBytes+1000), headCopies * 1000},
		{"fields", strings.Repeat("a:\n", freeHeadFields+10), fieldBytes * 10},
	}
	for _, test := range cases {
		var meter Meter
		meter.Add([]byte(test.text))
		if got := meter.Memory(); got != test.want {
			t.Errorf("%s: %d bytes, want %d", test.name, got, test.want)
		}
	}
}
