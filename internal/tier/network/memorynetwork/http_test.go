package memorynetwork_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

func TestHTTP_ServerAndClient_WorkOverTheNetwork(t *testing.T) {
	withPair(t, func(p *pair) {
		server := &http.Server{Handler: http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(response, request.Body)
		})}
		p.near.Close()
		p.far.Close()
		go func() { _ = server.Serve(p.listener) }()
		transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return p.from.Dial(ctx, new(net.Dialer), network, address)
		}}
		client := &http.Client{Transport: transport}
		for range 3 {
			response, err := client.Post("http://"+address+"/", "text/plain", bytes.NewReader(bytes.Repeat([]byte("x"), 1<<20)))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err != nil || len(body) != 1<<20 {
				t.Fatalf("read %d bytes, %v", len(body), err)
			}
		}
		transport.CloseIdleConnections()
		server.Close()
	})
}
