package group

import (
	"encoding/json"
	"slices"
	"strconv"

	"mastusher/internal/tier/replica"
)

// Envelope is a message between members, with the name of their group. It is the wire format.
type Envelope struct {
	Group   string          `json:"group"`
	Message replica.Message `json:"message"`
}

// AppendJSON implements transport.Appender. It writes JSON equivalent to that of encoding/json, but copies the data of entries
// and chunks, which are JSON already, without parsing them.
func (e Envelope) AppendJSON(buffer []byte) ([]byte, error) {
	name, err := json.Marshal(e.Group)
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, `{"group":`...)
	buffer = append(buffer, name...)
	buffer = append(buffer, `,"message":`...)
	if buffer, err = appendMessage(buffer, e.Message); err != nil {
		return buffer, err
	}
	return append(buffer, '}'), nil
}

func appendMessage(buffer []byte, message replica.Message) ([]byte, error) {
	buffer = slices.Grow(buffer, messageSize(&message))
	entries, snapshot := message.Entries, message.Snapshot
	message.Entries, message.Snapshot = nil, nil
	head, err := json.Marshal(message)
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, head[:len(head)-1]...)
	for i := range entries {
		buffer = append(buffer, separator(i, `,"entries":[`)...)
		buffer = appendEntry(buffer, &entries[i])
	}
	if len(entries) > 0 {
		buffer = append(buffer, ']')
	}
	if snapshot != nil {
		buffer = append(buffer, `,"snapshot":`...)
		if buffer, err = appendSnapshot(buffer, *snapshot); err != nil {
			return buffer, err
		}
	}
	return append(buffer, '}'), nil
}

// separator returns the text before a list element: first for index 0, otherwise a comma.
func separator(index int, first string) string {
	if index == 0 {
		return first
	}
	return ","
}

func appendEntry(buffer []byte, entry *replica.Entry) []byte {
	buffer = append(buffer, `{"index":`...)
	buffer = strconv.AppendUint(buffer, entry.Index, 10)
	buffer = append(buffer, `,"epoch":`...)
	buffer = strconv.AppendUint(buffer, entry.Term, 10)
	if entry.Kind != 0 {
		buffer = append(buffer, `,"kind":`...)
		buffer = strconv.AppendUint(buffer, uint64(entry.Kind), 10)
	}
	if len(entry.Data) > 0 {
		buffer = append(buffer, `,"data":`...)
		buffer = append(buffer, entry.Data...)
	}
	return append(buffer, '}')
}

func appendSnapshot(buffer []byte, snapshot replica.Snapshot) ([]byte, error) {
	state := snapshot.State
	snapshot.State = nil
	head, err := json.Marshal(snapshot)
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, head[:len(head)-1]...)
	if len(state) > 0 {
		buffer = append(buffer, `,"state":`...)
		buffer = append(buffer, state...)
	}
	return append(buffer, '}'), nil
}
