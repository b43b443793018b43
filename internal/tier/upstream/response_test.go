package upstream_test

import (
	"io"
	"net"
	"testing"

	"mastusher/internal/tier/upstream"
)

func TestResponse_BodyBreaksOff_FailsWithMayHaveRun(t *testing.T) {
	cases := map[string]string{
		"within the Content-Length": "Content-Length: 10\r\n\r\n12345",
		"within a chunk":            "Transfer-Encoding: chunked\r\n\r\na\r\n12345",
		"before the last chunk":     "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"with a broken chunk":       "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\nzz\r\n",
	}
	for name, rest := range cases {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(socket net.Conn, _ received) bool {
				_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n"+rest)
				return false
			})
			pool := newPool(t, upstream.Options{})
			body, err := exchange(t, pool, e.target("e"), newRequest("GET", "/", "1"))
			expectError(t, err, upstream.MayHaveRun, upstream.ReadFailed)
			if body != "12345" {
				t.Errorf("got body %q, want the 5 bytes that were sent", body)
			}
		})
	}
}
