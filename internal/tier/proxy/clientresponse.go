package proxy

import (
	"net/http"
	"strconv"

	"mastusher/internal/tier/upstream"
)

// unknownLength is the length of a body whose end isn't marked by a Content-Length.
const unknownLength = -1

// clientResponse is the response that a client gets. It lives as long as the client's request, and may carry the bodies of several
// attempts: the head is that of the first one whose response is forwarded. Its decisions depend on the head and bytes sent to the client,
// never on the framing of the response that an attempt forwards.
type clientResponse struct {
	writer  http.ResponseWriter
	request *http.Request

	started         bool   // the head has been sent
	length          int64  // Content-Length that the client was sent, or unknownLength
	written         int64  // bytes of the body that were written, without the withheld one
	contentEncoding string // in the head; empty: none
	withholdsEnd    bool   // the last byte of a body of known length is withheld until releaseEnd
	withheld        []byte // that byte, once it has come; empty: none
	resetsOnClose   bool   // every close of the client's connection is a reset
}

// begin sends the head of an endpoint's response. A close-delimited response is forwarded in chunks, so that it cannot look complete if
// it is interrupted or this process ends.
func (r *clientResponse) begin(from *upstream.Response) {
	r.started = true
	r.length = unknownLength
	r.contentEncoding = firstValue(from.Header, headerContentEncoding)
	header := r.writer.Header()
	copyResponseHeader(header, from.Header)
	if from.ContentLength >= 0 && firstValue(from.Header, "Content-Length") != "" {
		r.length = from.ContentLength
		header["Content-Length"] = []string{strconv.FormatInt(r.length, 10)}
	}
	r.resetIfCloseDelimited()
	r.writer.WriteHeader(from.Status)
}

// beginWithholdingEnd is begin for a response that must not look complete before releaseEnd is called. A body of unknown length ends with
// a final chunk or an orderly close, which net/http sends only after the request has been served, so none of its bytes is withheld.
func (r *clientResponse) beginWithholdingEnd(from *upstream.Response) {
	r.begin(from)
	r.withholdsEnd = r.length > 0
}

// continues reports whether the body of another attempt's response may follow the bytes sent so far. Its head is not sent to the client, so
// its body must have the encoding in the head that was sent.
func (r *clientResponse) continues(with *upstream.Response) bool {
	return with.Status/100 == 2 && firstValue(with.Header, headerContentEncoding) == r.contentEncoding
}

// hasLength reports whether the client was sent a Content-Length.
func (r *clientResponse) hasLength() bool { return r.started && r.length != unknownLength }

// write writes the next bytes of the body. If they end the body and its end is withheld, it keeps their last byte.
func (r *clientResponse) write(data []byte) error {
	if r.withholdsEnd && len(data) > 0 && r.written+int64(len(data)) == r.length {
		r.withheld = append(r.withheld[:0], data[len(data)-1])
		data = data[:len(data)-1]
	}
	r.written += int64(len(data))
	_, err := r.writer.Write(data)
	return err
}

// releaseEnd writes the withheld byte, if there is one.
func (r *clientResponse) releaseEnd() error {
	if len(r.withheld) == 0 {
		return nil
	}
	_, err := r.writer.Write(r.withheld)
	r.written++
	r.withheld = nil
	return err
}

// flush sends the bytes written so far to the client immediately.
func (r *clientResponse) flush() error {
	flusher, ok := r.writer.(interface{ FlushError() error })
	if !ok {
		return nil
	}
	return flusher.FlushError()
}

// resetIfCloseDelimited makes every close of the client's connection a reset if only a close marks the end of the response: to an
// HTTP/1.0 client, without a length. net/http closes the connection by itself when a write fails, and the system when this process
// ends.
func (r *clientResponse) resetIfCloseDelimited() {
	if r.request.ProtoAtLeast(1, 1) || r.length != unknownLength {
		return
	}
	if client := clientConnOf(r.request); client != nil {
		client.setResetOnClose(true)
		r.resetsOnClose = true
	}
}

// restoreGracefulClose flushes the complete response, then lets the client's connection close without a reset.
func (r *clientResponse) restoreGracefulClose() error {
	if !r.resetsOnClose {
		return nil
	}
	if err := r.flush(); err != nil {
		return err
	}
	clientConnOf(r.request).setResetOnClose(false)
	return nil
}
