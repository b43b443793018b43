package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"mastusher/internal/tier/upstream"
)

func TestDo_ContextEndsWhileWriting_ResetsConnection(t *testing.T) {
	cases := []struct {
		name   string
		answer string // part of the response that was sent before the caller cancels
	}{
		{"no response yet", ""},
		{"part of the response", "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nContent-Length: 10\r\n\r\n01234"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			// given an endpoint that is processing a request
			ctx, cancel := context.WithCancel(t.Context())
			readError := make(chan error, 1)
			e := newEndpoint(t, func(socket net.Conn, _ received) bool {
				_, _ = io.WriteString(socket, test.answer)
				if test.answer == "" {
					cancel()
				}
				_, err := socket.Read(make([]byte, 1))
				readError <- err
				return false
			})
			pool := newPool(t, upstream.Options{})
			// when the caller cancels the request
			response, err := pool.Do(ctx, e.target("e"), newRequest("GET", "/", "id"))
			if err == nil {
				cancel()
				_, err = io.ReadAll(response)
				response.Close()
			}
			// then the endpoint sees a reset, so that delayed bytes of the request are dropped
			var failure *upstream.Error
			if !errors.As(err, &failure) || failure.Kind != upstream.MayHaveRun || failure.Reason != upstream.Cancelled {
				t.Errorf("the caller got error %v, want cancelled (may have run)", err)
			}
			if err := <-readError; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the endpoint's read failed with %v, want a connection reset", err)
			}
		})
	}
}
