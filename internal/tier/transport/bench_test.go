package transport

import (
	"strings"
	"testing"
)

func BenchmarkCall(b *testing.B) {
	for _, c := range []struct {
		name string
		size int
	}{{"200B", 200}, {"100KB", 100 << 10}} {
		b.Run(c.name, func(b *testing.B) {
			server, pool := startServer(b, "127.0.0.1:0", echoHandlers()), startPool(b)
			request := question{Text: strings.Repeat("x", c.size)}
			ctx := b.Context()
			b.ReportAllocs()
			b.SetBytes(int64(2 * c.size))
			for b.Loop() {
				if _, err := Call[question, reply](ctx, pool, server.Address(), "echo", request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkNotify(b *testing.B) {
	handlers := echoHandlers()
	HandleNotice(handlers, "offer", func(string, question) {})
	server, pool := startServer(b, "127.0.0.1:0", handlers), startPool(b)
	address := server.Address()
	notice := question{Text: strings.Repeat("x", 200)}
	b.ReportAllocs()
	for b.Loop() {
		if err := Notify(pool, address, "offer", notice); err != nil {
			b.Fatal(err)
		}
	}
}
