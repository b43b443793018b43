package upstream

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestHeadMeter_AnySplit_CountsFieldsUntilTheHeadEnds(t *testing.T) {
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
				var meter headMeter
				for rest := test.text; len(rest) > 0; rest = rest[min(size, len(rest)):] {
					meter.add([]byte(rest[:min(size, len(rest))]))
				}
				if meter.fields != test.fields || meter.bytes != test.bytes || meter.ended != test.ended {
					t.Errorf("%d fields, %d bytes, ended %v, want %d, %d, %v", meter.fields, meter.bytes, meter.ended, test.fields, test.bytes, test.ended)
				}
			})
		}
	}
}

func TestHeadGuard_MoreThanOrdinary_ReservesOnceAndRefuses(t *testing.T) {
	var asked []int64
	guard := headGuard{maxFields: 100, reserve: func(bytes int64) bool {
		asked = append(asked, bytes)
		return bytes < 20_000
	}}
	if err := guard.accept([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("x", freeHeadBytes-17))); err != nil || len(asked) != 0 {
		t.Errorf("an ordinary head: error %v, asked for %v", err, asked)
	}
	if err := guard.accept(make([]byte, 1000)); err != nil || len(asked) != 1 || asked[0] != headCopies*1000 {
		t.Errorf("1,000 bytes more: error %v, asked for %v", err, asked)
	}
	if err := guard.accept([]byte("\r\n" + strings.Repeat("a:\n", 98))); !errors.Is(err, errNoHeadMemory) {
		t.Errorf("memory refused: error %v", err)
	}
	if err := guard.accept([]byte("a:\na:\n")); !errors.Is(err, errTooManyFields) {
		t.Errorf("too many fields: error %v", err)
	}
}
