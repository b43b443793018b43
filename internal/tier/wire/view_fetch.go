package wire

import "mastusher/internal/tier/view"

// FetchRequest asks for the sections of the view of which the other side has newer content than the digest says.
type FetchRequest struct {
	Digest view.Digest `json:"digest"`
}

// FetchResponse brings these sections.
type FetchResponse struct {
	Updates []view.Update `json:"pieces"`
}

// AppendJSON implements transport.Appender: the bytes are those of encoding/json, without encoding the bodies again.
func (r FetchResponse) AppendJSON(buffer []byte) ([]byte, error) {
	buffer = append(buffer, `{"pieces":[`...)
	for i, update := range r.Updates {
		if i > 0 {
			buffer = append(buffer, ',')
		}
		var err error
		if buffer, err = update.AppendJSON(buffer); err != nil {
			return buffer, err
		}
	}
	return append(buffer, "]}"...), nil
}
