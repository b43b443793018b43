package httpwire

import (
	"net/textproto"
	"strings"
)

// ReadRequest reads one request; goOn is called where its client waits to be told to send the body.
func (r *Reader) ReadRequest(goOn func() error) (*Request, error) {
	r.next()
	line, h, err := r.head()
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	path, proto, ok := strings.Cut(rest, " ")
	if !ok || method == "" || path == "" || path[0] != '/' || !strings.HasPrefix(proto, "HTTP/1.") {
		return nil, &Error{400, "malformed request line"}
	}
	q := &Request{Method: method, Path: path, Header: h, Close: lastOnConnection(h, proto)}
	if goOn != nil && strings.EqualFold(h.Get("Expect"), "100-continue") {
		if err = goOn(); err != nil {
			return nil, err
		}
	}
	q.Body, err = r.body(h, false)
	return q, err
}

func lastOnConnection(h textproto.MIMEHeader, proto string) bool {
	c := strings.ToLower(h.Get("Connection"))
	return strings.Contains(c, "close") || proto == "HTTP/1.0" && !strings.Contains(c, "keep-alive")
}
