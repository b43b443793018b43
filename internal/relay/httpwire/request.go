package httpwire

import (
	"net/textproto"
	"strings"
)

// ReadRequest reads one request. sendContinue, unless nil, is called where the client expects "100 Continue" before it sends the body. It returns
// an Error for a malformed request.
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
	request := &Request{Method: method, Path: path, Header: header, Close: lastOnConnection(header, proto)}
	if sendContinue != nil && strings.EqualFold(header.Get("Expect"), "100-continue") {
		if err = sendContinue(); err != nil {
			return nil, err
		}
	}
	request.Body, err = r.body(header, false)
	return request, err
}

// lastOnConnection reports whether the connection ends with a message of this header and protocol version.
func lastOnConnection(header textproto.MIMEHeader, proto string) bool {
	connection := strings.ToLower(header.Get("Connection"))
	return strings.Contains(connection, "close") || proto == "HTTP/1.0" && !strings.Contains(connection, "keep-alive")
}
