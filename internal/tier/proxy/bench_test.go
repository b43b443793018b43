package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
)

// BenchmarkRequest measures a request from client to endpoint and back, including the work of both.
func BenchmarkRequest(b *testing.B) {
	body := strings.Repeat("x", 800)
	events := ""
	for i := range 8 {
		events += chunk(event(i, strings.Repeat("t", 40)))
	}
	cases := []struct {
		name, request, response string
	}{
		{"plain", "GET /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\nX-Time-Left-Ms: 2000\r\nProgram: 3fa81c\r\nSession: 77d20b\r\n\r\n",
			"HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Server-Seal: s\r\nKeep-Alive: timeout=30\r\nX-Server-Load: 1,0,8\r\n" + withLength(body) + "\r\n\r\n" + body},
		{"turn", "POST /turn/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\nX-Time-Left-Ms: 2000\r\nProgram: 3fa81c\r\nBudget: 1080\r\nX-Token-Counts: 1840,135\r\nX-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nContent-Length: 800\r\n\r\n" + body,
			"HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\nX-Server-Seal: s\r\nKeep-Alive: timeout=30\r\n" + streamHead + "\r\n\r\n" + events + lastChunk},
	}
	for _, test := range cases {
		b.Run(test.name, func(b *testing.B) { benchmarkRequest(b, test.request, test.response) })
	}
}

func benchmarkRequest(b *testing.B, request, endpointResponse string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go respondToAll(listener, []byte(endpointResponse))
	loadBalancer := NewLoadBalancer("z", 1)
	loadBalancer.SetEndpoints([]model.Endpoint{
		{ID: "e1", Service: "plain", Address: listener.Addr().String(), Zone: "z", Capacity: 8, State: model.Ready},
		{ID: "e2", Service: "engine", Address: listener.Addr().String(), Zone: "z", Capacity: 8, State: model.Ready},
	})
	views := &fakeViews{}
	views.routes.Store(NewRoutes(newConfiguration()))
	stores := &fakePrograms{ended: make(chan program.EndTurn, 1)}
	go func() {
		for range stores.ended {
		}
	}()
	p, err := New(Options{FrontAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", Views: views, Programs: stores, Selector: loadBalancer})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = p.Serve() }()
	defer func() { _ = p.Shutdown(b.Context()) }()
	socket, err := net.Dial("tcp4", p.FrontAddress().String())
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	_ = socket.SetDeadline(time.Now().Add(time.Minute))
	reader := bufio.NewReader(socket)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(socket, request)
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != 200 {
			b.Fatal(fmt.Sprint(response, err))
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// respondToAll responds to every request with the same bytes.
func respondToAll(listener net.Listener, response []byte) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer socket.Close()
			reader := bufio.NewReader(socket)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = socket.Write(response)
			}
		}()
	}
}

// BenchmarkEventParser_LongLineInSmallPieces parses an event of a megabyte without a line feed, as it arrives in chunks of a few bytes.
func BenchmarkEventParser_LongLineInSmallPieces(b *testing.B) {
	piece := bytes.Repeat([]byte("x"), 64)
	for b.Loop() {
		var sent transcript
		parser := newEventParser(&sent, false)
		for fed := 0; fed+len(piece) < maxEventBytes; fed += len(piece) {
			parser.feed(piece)
		}
	}
}
