package wire

import "mastusher/internal/tier/view"

// FetchRequest requests the sections of the view that are newer on the other side than in the digest.
type FetchRequest struct {
	Digest view.Digest `json:"digest"`
}

// FetchResponse holds the newer sections.
type FetchResponse struct {
	Updates []view.Update `json:"pieces"`
}

// AppendJSON implements transport.Appender. It appends the same bytes as encoding/json, but does not encode the section bodies again.
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
