package standin

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
)

// turn answers a request with a stream of events. Its run starts with its first event.
func (e *Engine) turn(response http.ResponseWriter, request *http.Request) {
	if !e.fits(response, request) {
		return
	}
	admitted, ok := e.admit(response, request)
	if !ok {
		return
	}
	defer admitted.release()
	tokens := requestTokensOf(request)
	e.cacheUsed.Add(tokens.prompt + tokens.maxOutput)
	defer e.cacheUsed.Add(-tokens.prompt - tokens.maxOutput)
	if err := e.work(admitted.ctx, e.engine.Prefill); err != nil {
		e.rejectUnstarted(response, request)
		return
	}
	index := e.startRun(request, admitted.body)
	switch admitted.fault {
	case LoseResponse:
		e.runLog.progress(index, e.engine.TokensPerEvent, false)
		panic(http.ErrAbortHandler)
	case FailResponse:
		e.seal(response, request)
		http.Error(response, "failed", http.StatusInternalServerError)
		return
	}
	e.stream(response, request, admitted, index)
}

// rejectUnstarted rejects a request whose deadline passed before its first event; if the client has disconnected, it closes the
// connection.
func (e *Engine) rejectUnstarted(response http.ResponseWriter, request *http.Request) {
	if request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	e.reject(response, request, http.StatusServiceUnavailable)
}

// stream writes the events after Last-Event-Id, and simulates TruncateResponse.
func (e *Engine) stream(response http.ResponseWriter, request *http.Request, admitted admission, index int) {
	e.seal(response, request)
	response.Header().Set("Content-Type", "text/event-stream")
	if e.engine.WeightsVersion > 0 {
		response.Header().Set(headerVersions, strconv.Itoa(e.engine.WeightsVersion))
	}
	first, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	last := e.events(requestTokensOf(request))
	for id := first + 1; id <= last; id++ {
		if id > first+1 && e.work(admitted.ctx, e.engine.EventInterval) != nil {
			panic(http.ErrAbortHandler)
		}
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", id, EventData(admitted.body, id))
		truncate := admitted.fault == TruncateResponse && (id > last/2 || id == last)
		if truncate {
			text = text[:len(text)/2]
		}
		if !e.send(response, text) {
			panic(http.ErrAbortHandler)
		}
		e.runLog.progress(index, e.engine.TokensPerEvent, id == last && !truncate)
		if truncate {
			panic(http.ErrAbortHandler)
		}
	}
}

// send writes and flushes one event; false means that the connection is lost.
func (e *Engine) send(response http.ResponseWriter, text string) bool {
	if _, err := response.Write([]byte(text)); err != nil {
		return false
	}
	return http.NewResponseController(response).Flush() == nil
}

// EventData returns the data of an event. It depends only on the prompt and the id, so that all engines give the same response.
func EventData(prompt []byte, id int) string {
	hash := fnv.New32a()
	_, _ = hash.Write(prompt)
	return fmt.Sprintf("%08x.%d", hash.Sum32(), id)
}
