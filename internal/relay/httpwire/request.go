package httpwire

import (
	"net/textproto"
	"strings"
)

// ReadRequest reads one request. sendContinue, unless nil, is called if the client expects "100 Continue" before it sends the body. The
// error is an *Error if the request is malformed.
func (r *Reader) ReadRequest(sendContinue func() error) (*Request, error) {
	r.next()
	requestLine, header, err := r.head()
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(requestLine, " ")
	path, proto, ok := strings.Cut(rest, " ")
	if !ok || method == "" || path == "" || path[0] != '/' || !strings.HasPrefix(proto, "HTTP/1.") {
		return nil, &Error{400, "malformed request line"}
	}
	request := &Request{Method: method, Path: path, Header: header, Close: endsConnection(header, proto)}
	if sendContinue != nil && strings.EqualFold(header.Get("Expect"), "100-continue") {
		if err = sendContinue(); err != nil {
			return nil, err
		}
	}
	request.Body, err = r.body(header, false)
	return request, err
}

// endsConnection reports whether a message with this header and protocol version is the last on its connection.
func endsConnection(header textproto.MIMEHeader, proto string) bool {
	connection := strings.ToLower(header.Get("Connection"))
	return strings.Contains(connection, "close") || proto == "HTTP/1.0" && !strings.Contains(connection, "keep-alive")
}
