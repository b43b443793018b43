package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"
)

func TestServer_MalformedLine_ClosesTheConnection(t *testing.T) {
	server := startServer(t, "127.0.0.1:0", echoHandlers())
	garbage := []string{
		"GET / HTTP/1.1\r\n",
		"\n",
		`{"call":1,"method":"echo","body":{"text":}}` + "\n",
		`{"call":1,"method":"echo","body":{}},{"call":2}` + "\n",
		`{"answer":1,"body":{}}` + "\n",
	}
	for _, text := range garbage {
		t.Run(text, func(t *testing.T) {
			socket, err := net.Dial("tcp4", server.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer socket.Close()
			_ = socket.SetDeadline(time.Now().Add(testTimeout))
			fmt.Fprint(socket, text)
			if got, err := bufio.NewReader(socket).ReadString('\n'); err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("received %q, error %v; want that the server closes the connection", got, err)
			}
		})
	}
}
