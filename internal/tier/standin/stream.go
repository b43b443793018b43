package standin

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
)

// turn answers with a series of events. The request runs from its first event on.
func (e *Engine) turn(response http.ResponseWriter, request *http.Request) {
	if !e.fits(response, request) {
		return
	}
	admitted, ok := e.admit(response, request)
	if !ok {
		return
	}
	defer admitted.release()
	told := requestTokensOf(request)
	e.cacheUsed.Add(told.prompt + told.maxOutput)
	defer e.cacheUsed.Add(-told.prompt - told.maxOutput)
	if err := e.work(admitted.ctx, e.engine.Prefill); err != nil {
		e.rejectUnstarted(response, request)
		return
	}
	place := e.run(request, admitted.body)
	switch admitted.fault {
	case LoseResponse:
		e.runLog.progress(place, e.engine.TokensPerEvent, false)
		panic(http.ErrAbortHandler)
	case FailResponse:
		e.seal(response, request)
		http.Error(response, "failed", http.StatusInternalServerError)
		return
	}
	e.stream(response, request, admitted, place)
}

// rejectUnstarted answers a request whose time ended before its first token.
func (e *Engine) rejectUnstarted(response http.ResponseWriter, request *http.Request) {
	if request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	e.reject(response, request, http.StatusServiceUnavailable)
}

func (e *Engine) stream(response http.ResponseWriter, request *http.Request, admitted admission, place int) {
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
		cut := admitted.fault == TruncateResponse && (id > last/2 || id == last)
		if cut {
			text = text[:len(text)/2]
		}
		if !e.send(response, text) {
			panic(http.ErrAbortHandler)
		}
		e.runLog.progress(place, e.engine.TokensPerEvent, id == last && !cut)
		if cut {
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) send(response http.ResponseWriter, text string) bool {
	if _, err := response.Write([]byte(text)); err != nil {
		return false
	}
	return http.NewResponseController(response).Flush() == nil
}

// EventData gives the data of an event. It depends on the prompt alone, so that every engine answers alike.
func EventData(prompt []byte, id int) string {
	hash := fnv.New32a()
	_, _ = hash.Write(prompt)
	return fmt.Sprintf("%08x.%d", hash.Sum32(), id)
}
