package exchangetest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// FuzzAnswerBytes has an endpoint answer with arbitrary bytes. A success must reach the client only with its request's ID and a seal, a
// request that isn't retryable must be sent again only after a guarantee that it has not run, and the next request must get its own
// response.
func FuzzAnswerBytes(f *testing.F) {
	for _, kind := range []responseKind{success, chunked, closeDelimited, informational, failure, rejected, notRun, misdirected, withoutID, foreign, unsealed} {
		request := newRequest(onceRoute, 0, completeScript(kind, 2))
		request.id = idForFirstEndpoint(0)
		answer := endpointAttempt{request: request, endpoint: "e0"}.answer()
		f.Add(answer, byte(keepOpen))
		f.Add(append(answer, answer...), byte(orderlyClose))
		f.Add(answer[:len(answer)-1], byte(resetClose))
	}
	f.Fuzz(func(t *testing.T, answer []byte, end byte) {
		for _, route := range []routeKind{onceRoute, safeRoute, resumeRoute} {
			raw := completeScript(rawBytes, 0)
			raw.raw, raw.end = answer, ending(end%4)
			first, second := newRequest(route, 0, raw, completeScript(success, 2)), newRequest(safeRoute, 1, completeScript(success, 2))
			first.id, second.id = idForFirstEndpoint(0), idForFirstEndpoint(1)
			checkRaw(t, runScenario(t, scenario{clients: [][]*requestScript{{first, second}}}), answer)
		}
	})
}

// checkRaw checks an environment whose first request was answered with arbitrary bytes.
func checkRaw(t *testing.T, env *environment, answer []byte) {
	t.Helper()
	results := env.clients[0].results
	first, second := results[0], results[1]
	if first.answered && first.status/100 == 2 && (first.header.Get("X-Attempt-Id") != first.request.id || first.header.Get("X-Server-Seal") == "") {
		t.Errorf("a success without the request's ID or without a seal: status %d, header %v", first.status, first.header)
	}
	promisedNotRun := bytes.Contains(answer, []byte(" 421 ")) || bytes.Contains(bytes.ToLower(answer), []byte("x-not-run"))
	sendCount := 0
	for _, r := range env.attempts {
		if r.request == first.request {
			sendCount++
		}
	}
	if !first.request.route.retryable() && sendCount > 1 && !promisedNotRun {
		t.Errorf("sent %d times after %q", sendCount, answer)
	}
	if !second.complete() || second.status != 200 || second.header.Get("X-Attempt-Id") != second.request.id {
		t.Errorf("the next request got status %d, header %v, error %v", second.status, second.header, second.err)
	}
}

var (
	requestLine = regexp.MustCompile(`^[!-~]+ [!-~]+ HTTP/1\.1$`)
	headerLine  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+: ?[^\r\n\x00]*$")
)

// FuzzRequestBytes has a client send arbitrary bytes. Endpoints must receive only unambiguous requests, each with the method, target and
// body of a request that the client sent.
func FuzzRequestBytes(f *testing.F) {
	inner := newRequest(onceRoute, 7).wire()
	for _, chunks := range []int{0, 2} {
		request := newRequest(onceRoute, 0)
		request.chunks = chunks
		f.Add(request.wire())
		f.Add(append(request.wire(), request.wire()...))
		f.Add(request.wire()[:len(request.wire())-1])
	}
	head := "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: x\r\n"
	f.Add([]byte(head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + string(chunkBody(inner, 1))))
	f.Add([]byte(head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + string(inner)))
	f.Add([]byte(head + "Connection: X-Attempt-Id, Content-Length\r\nContent-Length: 4\r\n\r\nabcd"))
	f.Add([]byte("POST /00000 HTTP/1.1\nHost:0\nContent-Length:4\n\n0000\n0 /once/ HTTP/1.0\nHost:A.eXAmple\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var arrived [][]byte
		synctest.Test(t, func(t *testing.T) {
			env := newEnvironment(t, scenario{})
			conn, err := env.network.dial(context.Background(), frontAddress)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write(data)
			_ = conn.SetReadDeadline(time.Now().Add(cooldown))
			_, _ = io.Copy(io.Discard, struct{ io.Reader }{conn})
			conn.Close()
			env.run(t)
			for _, e := range env.endpoints {
				for _, conn := range e.connections() {
					arrived = append(arrived, conn.snapshot().received)
				}
			}
		})
		sent := requestsIn(data)
		for _, stream := range arrived {
			checkRequests(t, stream, sent)
		}
	})
}

// requestsIn parses the requests in a client's bytes, and returns each in the form of sentForm.
func requestsIn(data []byte) []string {
	var sent []string
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return sent
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return sent
		}
		sent = append(sent, sentForm(request, body))
		skipLineEnds(reader)
	}
}

// skipLineEnds skips line ends after a request, which old clients send.
func skipLineEnds(reader *bufio.Reader) {
	for {
		next, err := reader.Peek(1)
		if err != nil || next[0] != '\r' && next[0] != '\n' {
			return
		}
		_, _ = reader.Discard(1)
	}
}

// sentForm returns, as text, the parts of a request that must be the same at client and endpoint.
func sentForm(request *http.Request, body []byte) string {
	target := request.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = request.URL.RequestURI()
	}
	return fmt.Sprintf("%s %s %q", request.Method, target, body)
}

// checkRequests checks all bytes that an endpoint received on a connection.
func checkRequests(t *testing.T, received []byte, sent []string) {
	t.Helper()
	for len(received) > 0 {
		head, _, found := bytes.Cut(received, []byte("\r\n\r\n"))
		if !found {
			t.Errorf("incomplete head: %q", received)
			return
		}
		checkLines(t, strings.Split(string(head), "\r\n"))
		counted := &countingReader{Reader: bytes.NewReader(received)}
		buffered := bufio.NewReader(counted)
		request, err := http.ReadRequest(buffered)
		if err != nil {
			t.Errorf("%q is not a request: %v", received, err)
			return
		}
		body, err := io.ReadAll(request.Body)
		if form := sentForm(request, body); err != nil || !slices.Contains(sent, form) {
			t.Errorf("an endpoint received %s, error %v, which the client didn't send; it sent %q", form, err, sent)
			return
		}
		received = received[counted.count-buffered.Buffered():]
	}
}

// checkLines checks the syntax of a request's head, and that it has the fields that make it unambiguous.
func checkLines(t *testing.T, lines []string) {
	t.Helper()
	if !requestLine.MatchString(lines[0]) {
		t.Errorf("malformed request line %q", lines[0])
	}
	counts := make(map[string]int)
	for _, line := range lines[1:] {
		if !headerLine.MatchString(line) {
			t.Errorf("malformed header line %q", line)
		}
		name, _, _ := strings.Cut(line, ":")
		counts[strings.ToLower(name)]++
	}
	if counts["host"] != 1 || counts["x-expected-server"] != 1 || counts["content-length"] > 1 || counts["transfer-encoding"] > 0 {
		t.Errorf("missing, repeated or forbidden header fields: %v in %q", counts, lines)
	}
}

// countingReader counts the bytes read.
type countingReader struct {
	io.Reader
	count int
}

func (r *countingReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	r.count += n
	return n, err
}
