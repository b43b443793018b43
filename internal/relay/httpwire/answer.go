package httpwire

import "strconv"

// Answer is a handler's response to a request.
type Answer struct {
	Status       int      // HTTP status
	Header       []string // names and values alternating
	Body         []byte
	NoErrorDelay bool   // for an error status: read the next request at once, without Limits.ErrorDelay
	OnLost       func() // unless nil, called by the connection's goroutine if the answer could not be written
}

// AppendAnswer appends an encoded answer; last announces that the connection is closed after it.
func AppendAnswer(b []byte, a *Answer, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[a.Status]...)
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

// appendHeaders appends header lines; h has names and values alternating.
func appendHeaders(b []byte, h []string) []byte {
	for i := 0; i+1 < len(h); i += 2 {
		b = append(b, h[i]...)
		b = append(b, ": "...)
		b = append(b, h[i+1]...)
		b = append(b, "\r\n"...)
	}
	return b
}

// reasonPhrases are the reason phrases of the statuses that the relay answers with; others have none.
var reasonPhrases = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 401: "Unauthorized",
	403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
	415: "Unsupported Media Type", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}
