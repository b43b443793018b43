package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error // the connection failed, or the answer isn't complete
}

// Text describes an answer for the record.
func (a Answer) Text() string {
	if a.Err != nil {
		return fmt.Sprintf("no complete answer: status %d, %d bytes: %v", a.Status, len(a.Body), a.Err)
	}
	return fmt.Sprintf("status %d, seal %q, %d bytes", a.Status, a.Header.Get("X-Server-Seal"), len(a.Body))
}

// Request is a client's request.
type Request struct {
	Method, Path, Attempt string
	Fields                [][2]string
	Body                  []byte
	TimeLeft              time.Duration
}

// Bytes returns the request as it is sent.
func (q *Request) Bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: %d\r\n", q.Method, q.Path, Host, q.Attempt, q.TimeLeft.Milliseconds())
	for _, field := range q.Fields {
		fmt.Fprintf(&b, "%s: %s\r\n", field[0], field[1])
	}
	if q.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}

// Conn is a client's connection, which may carry several requests.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a client's connection to an edge machine.
func Dial(m *Machine) (*Conn, error) {
	socket, err := net.DialTimeout("tcp4", m.At(FrontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{socket, bufio.NewReader(socket)}, nil
}

// Do sends a request and reads its answer.
func (c *Conn) Do(q *Request) Answer {
	_ = c.SetDeadline(time.Now().Add(q.TimeLeft + time.Second))
	if _, err := c.Write(q.Bytes()); err != nil {
		return Answer{Err: err}
	}
	return c.Read1(q.Method)
}

// Read1 reads one answer.
func (c *Conn) Read1(method string) Answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body, Err: err}
}

// Send sends a request on a connection of its own.
func Send(m *Machine, q *Request) Answer {
	c, err := Dial(m)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return c.Do(q)
}

// Runs records what the endpoints have run.
type Runs struct {
	mutex sync.Mutex
	list  []Run
}

// Run is one request that an endpoint has begun to work on.
type Run struct {
	At       time.Time
	Attempt  string
	Endpoint string
	Method   string
	URI      string
	Body     []byte
	TimeLeft string
}

// Add records a run.
func (l *Runs) Add(e *Endpoint, q *http.Request, body []byte) Run {
	run := Run{At: time.Now(), Attempt: q.Header.Get("X-Attempt-Id"), Endpoint: e.ID, Method: q.Method, URI: q.RequestURI, Body: body,
		TimeLeft: q.Header.Get("X-Time-Left-Ms")}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.list = append(l.list, run)
	return run
}

// Of returns the runs of an attempt.
func (l *Runs) Of(attempt string) []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Run
	for _, run := range l.list {
		if run.Attempt == attempt {
			found = append(found, run)
		}
	}
	return found
}

// Events returns an event stream with ids from first to last.
func Events(first, last int) string {
	var b bytes.Buffer
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: token-%d\n\n", id, id)
	}
	return b.String()
}

// At returns the runs at an endpoint.
func (l *Runs) At(endpoint string) []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []Run
	for _, run := range l.list {
		if run.Endpoint == endpoint {
			found = append(found, run)
		}
	}
	return found
}
