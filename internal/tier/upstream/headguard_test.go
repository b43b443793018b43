package upstream

import (
	"errors"
	"strings"
	"testing"
)

func TestHeadGuard_MoreThanOrdinary_ReservesOnceAndRefuses(t *testing.T) {
	const freeBytes, copies = 4 << 10, 3
	var asked []int64
	guard := headGuard{maxFields: 100, reserve: func(bytes int64) bool {
		asked = append(asked, bytes)
		return bytes < 20_000
	}}
	if err := guard.accept([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("x", freeBytes-17))); err != nil || len(asked) != 0 {
		t.Errorf("an ordinary head: error %v, asked for %v", err, asked)
	}
	if err := guard.accept(make([]byte, 1000)); err != nil || len(asked) != 1 || asked[0] != copies*1000 {
		t.Errorf("1,000 bytes more: error %v, asked for %v", err, asked)
	}
	if err := guard.accept([]byte("\r\n" + strings.Repeat("a:\n", 98))); !errors.Is(err, errNoHeadMemory) {
		t.Errorf("memory refused: error %v", err)
	}
	if err := guard.accept([]byte("a:\na:\n")); !errors.Is(err, errTooManyFields) {
		t.Errorf("too many fields: error %v", err)
	}
}
