package engine

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/config"
	"mastusher/internal/relay/journal"
)

// instantShell is a shell whose calls deliver their messages at once.
type instantShell struct{ inertShell }

func (instantShell) Call(_ Front, s *Attempt, _ time.Time, done func([]Outcome)) func() {
	go done(make([]Outcome, len(s.Items)))
	return func() {}
}

// BenchmarkTurn measures a message's complete processing by the core, in two turns, with and without a capture.
func BenchmarkTurn(b *testing.B) {
	for _, recorded := range []bool{false, true} {
		b.Run(fmt.Sprint("recorded=", recorded), func(b *testing.B) {
			cfg, err := config.Parse([]byte(settings), func(string) string { return "" })
			if err != nil {
				b.Fatal(err)
			}
			quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
			now := time.Now()
			c, _ := New(cfg, &journal.Memory{}, quiet, now)
			c.SetShell(instantShell{})
			c.AddFront("platform", &fakeFront{}, EndpointList{Destinations: []Destination{{Name: "s-1", Zone: "a", Kind: "news-groups", Partner: 7}}})
			if recorded {
				rec, err := capture.New(b.TempDir(), c.Begin("b", ""), capture.Limits{Queue: 1 << 12, Chunk: cfg.Limits.CaptureChunk,
					Within: time.Hour, FileSize: 1 << 30, DirSize: 1 << 31}, quiet)
				if err != nil {
					b.Fatal(err)
				}
				defer rec.Close()
				c.Record(rec)
			}
			c.Restore(now)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				a := arrival{front: "platform", msg: Message{ID: fmt.Sprint("id-of-a-message-", n), Key: "key", Class: 1, Partner: 7,
					Deadline: now.Add(9 * time.Second), Body: make([]byte, 40)}, submittedAt: now, reply: make(chan Reply, 1)}
				c.Turn(now, []event{a})
				now = now.Add(5 * time.Millisecond)
				if r := <-a.reply; r.Verdict != Accepted {
					b.Fatal(r)
				}
				for len(c.inFlight) > 0 {
					c.Turn(now, []event{<-c.queue})
					now = now.Add(5 * time.Millisecond)
				}
			}
		})
	}
}
