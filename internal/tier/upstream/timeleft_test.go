package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

func TestDo_TimeLeft_IsComputedAsRequestIsWritten(t *testing.T) {
	cases := []struct {
		name    string
		left    time.Duration // until the deadline when Do is called
		connect time.Duration // that establishing the connection takes
		want    int           // X-Time-Left-Ms
	}{
		{"connected at once: all of the time left", 2 * time.Second, 0, 2000},
		{"connected after 390 ms: the time left without these", 2 * time.Second, 390 * time.Millisecond, 1610},
		{"less than 1 ms left: 1", 300 * time.Microsecond, 0, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timeLeft := make(chan string, 1)
				pool := NewPool(Options{})
				defer pool.Close()
				pool.dial = func(context.Context, string) (net.Conn, error) {
					time.Sleep(test.connect)
					caller, endpoint := net.Pipe()
					go reportTimeLeft(endpoint, timeLeft)
					return caller, nil
				}
				request := &Request{Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(test.left)}
				response, err := pool.Do(t.Context(), Endpoint{ID: "e"}, request)
				if err != nil {
					t.Fatal(err)
				}
				response.Close()
				if got := <-timeLeft; got != strconv.Itoa(test.want) {
					t.Errorf("sent X-Time-Left-Ms %q, want %d", got, test.want)
				}
			})
		})
	}
}

// reportTimeLeft responds to one request as an endpoint, and sends the request's X-Time-Left-Ms to the channel.
func reportTimeLeft(socket net.Conn, timeLeft chan<- string) {
	defer socket.Close()
	request, err := http.ReadRequest(bufio.NewReader(socket))
	if err != nil {
		timeLeft <- err.Error()
		return
	}
	timeLeft <- request.Header.Get(TimeLeftHeader)
	_, _ = socket.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
}
