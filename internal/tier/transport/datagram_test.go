package transport

import (
	"errors"
	"strings"
	"testing"
)

func TestDatagram_SentToAServer_Arrives(t *testing.T) {
	type datagram struct{ from, payload string }
	arrived := make(chan datagram, 10)
	handlers := NewHandlers()
	handlers.HandleDatagram(func(from string, payload []byte) { arrived <- datagram{from: from, payload: string(payload)} })
	receiver, sender := startServer(t, "127.0.0.1:0", handlers), startServer(t, "127.0.0.1:0", NewHandlers())
	for _, payload := range []string{`{"ping":1}`, strings.Repeat("x", MaxDatagramBytes)} {
		if err := sender.SendDatagram(receiver.Address(), []byte(payload)); err != nil {
			t.Fatal(err)
		}
		want := datagram{from: sender.Address(), payload: payload}
		if got := receive(t, arrived); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	var tooLong *TooLongError
	if err := sender.SendDatagram(receiver.Address(), make([]byte, MaxDatagramBytes+1)); !errors.As(err, &tooLong) {
		t.Errorf("error %v of a payload over the limit, want a TooLongError", err)
	}
}
