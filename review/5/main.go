// Command 5 lets model endpoints cut a few streams of a route that is remembered and may be resumed. Each stream that the client gets
// whole must consist of the endpoints' events, in their order and complete.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"review/rig"
)

const (
	turns     = 100 // turns that the client sends
	cutEvery  = 50  // of these, every so manieth stream is cut: 2 in 100
	events    = 12  // in each stream
	cutAfter  = 4   // events that a cut stream has sent
	eventPace = 4 * time.Millisecond
)

func main() {
	broken, err := run(os.Args[1])
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// event returns one event, with the line feed that ends it.
func event(attempt string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s-token-%d\n\n", id, attempt, id)
}

func run(root string) (broken bool, err error) {
	r, err := rig.New(root, 4)
	if err != nil {
		return false, err
	}
	defer r.Close()
	var runs rig.Runs
	var begun atomic.Int64
	serve := func(e *rig.Endpoint, w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		runs.Add(e, q, body)
		attempt := q.Header.Get("X-Attempt-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
			// The rest is known: the endpoint that runs the request keeps its events by attempt. So the answer has a length.
			first = last + 1
			length := 0
			for id := first; id <= events; id++ {
				length += len(event(attempt, id))
			}
			w.Header().Set("Content-Length", strconv.Itoa(length))
		}
		cut := first == 1 && rig.Trouble() && begun.Add(1)%cutEvery == 0
		for id := first; id <= events; id++ {
			if cut && id > cutAfter {
				r.Note("%s cuts the stream of %s after event %d", e.ID, attempt, cutAfter)
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, event(attempt, id))
			w.(http.Flusher).Flush()
			time.Sleep(eventPace)
		}
	}
	for range 3 {
		if _, err := r.AddEndpoint("lm", "v1", 64, serve); err != nil {
			return false, err
		}
	}
	if err := r.StartAll(); err != nil {
		return false, err
	}
	configuration := map[string]any{"number": 1, "services": rig.Services(), "limits": rig.Limits(16384), "routes": []any{
		rig.Route("turns", "/turns/", "streaming", "lm", 5000, 2, map[string]any{"remembered": true, "canResume": true, "pinned": true,
			"gap_aim_ms": 200})}}
	if err := r.Configure(0, configuration, 20*time.Second); err != nil {
		return false, err
	}
	if err := r.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}

	whole, wrong, incomplete := 0, 0, 0
	for number := range turns {
		attempt := fmt.Sprintf("t%d", number)
		answer := rig.Send(r.Edge[number%len(r.Edge)], &rig.Request{Method: "POST", Path: "/turns/a", Attempt: attempt, TimeLeft: 4 * time.Second,
			Fields: [][2]string{{"Program", fmt.Sprint("p", number)}, {"Session", fmt.Sprint("s", number)}, {"Finish-Ms", "8000"}, {"Budget", "600"},
				{"X-Token-Counts", "100,60"}}, Body: []byte("input of " + attempt + "\n")})
		r.Record("%s: %s", attempt, answer.Text())
		if answer.Err != nil || answer.Status != http.StatusOK {
			incomplete++
			continue
		}
		whole++
		var want bytes.Buffer
		for id := 1; id <= events; id++ {
			want.WriteString(event(attempt, id))
		}
		if !bytes.Equal(answer.Body, want.Bytes()) {
			wrong++
			r.Note("%s was run %d times; its client got a complete stream with other bytes than the endpoints sent:\n%s", attempt, len(runs.Of(attempt)),
				strings.ReplaceAll(string(answer.Body), "\n", "\\n\n"))
		}
	}
	r.Note("%d turns: %d answered whole, %d not", turns, whole, incomplete)
	if whole < turns*9/10 {
		return false, fmt.Errorf("only %d turns were answered whole", whole)
	}
	if wrong > 0 {
		r.Note("MIXED and ORDER broken: %d complete streams differ from what the endpoints sent", wrong)
		return true, nil
	}
	r.Note("MIXED and ORDER held")
	return false, nil
}
