package httpwire

import "strconv"

// Answer is what a handler returns. OnLost, if set, is called when it could not be written.
type Answer struct {
	Status       int
	Header       []string // name, value, name, value...
	Body         []byte
	NoErrorDelay bool // an error that is no sign of a client that hammers: the next request is read at once
	OnLost       func()
}

// AppendAnswer appends a as it goes over the wire.
func AppendAnswer(b []byte, a *Answer, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[a.Status]...)
	b = append(b, "\r\n"...)
	b = appendHeaders(b, a.Header)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	if a.Status != 204 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(a.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, a.Body...)
}

func appendHeaders(b []byte, h []string) []byte {
	for i := 0; i+1 < len(h); i += 2 {
		b = append(b, h[i]...)
		b = append(b, ": "...)
		b = append(b, h[i+1]...)
		b = append(b, "\r\n"...)
	}
	return b
}

var reasons = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 401: "Unauthorized",
	403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
	415: "Unsupported Media Type", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}
