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
		answer string // what has come of the response when the caller cancels
	}{
		{"given no response yet", ""},
		{"given a response in progress", "HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nContent-Length: 10\r\n\r\n01234"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			// given an endpoint at work
			ctx, leave := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			e := newEndpoint(t, func(socket net.Conn, _ received) bool {
				_, _ = io.WriteString(socket, test.answer)
				if test.answer == "" {
					leave()
				}
				_, err := socket.Read(make([]byte, 1))
				ended <- err
				return false
			})
			pool := newPool(t, upstream.Options{})
			// when its caller cancels
			response, err := pool.Do(ctx, e.target("e"), newRequest("GET", "/", "id"))
			if err == nil {
				leave()
				_, err = io.ReadAll(response)
				response.Close()
			}
			// then the endpoint sees a reset: what a link delays of the request won't follow
			var failure *upstream.Error
			if !errors.As(err, &failure) || failure.Kind != upstream.MayHaveRun || failure.Reason != upstream.Cancelled {
				t.Errorf("the caller got %v", err)
			}
			if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the endpoint saw %v", err)
			}
		})
	}
}
