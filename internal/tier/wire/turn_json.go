package wire

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"slices"
	"strconv"

	"mastusher/internal/tier/program"
)

// AppendJSON implements transport.Appender: encoding/json would hold the turn's contents several times while it encodes them.
func (r BeginTurnRequest) AppendJSON(buffer []byte) ([]byte, error) {
	buffer = appendShard(buffer, r.Shard)
	buffer, err := r.Turn.AppendJSON(buffer)
	if err != nil {
		return buffer, err
	}
	if len(r.CachedChains) > 0 {
		held, err := json.Marshal(r.CachedChains)
		if err != nil {
			return buffer, err
		}
		buffer = append(append(buffer, `,"held":`...), held...)
	}
	return append(buffer, '}'), nil
}

// AppendJSON implements transport.Appender, as BeginTurnRequest does.
func (r EndTurnRequest) AppendJSON(buffer []byte) ([]byte, error) {
	buffer, err := r.Turn.AppendJSON(appendShard(buffer, r.Shard))
	if err != nil {
		return buffer, err
	}
	return append(buffer, '}'), nil
}

// appendShard appends the beginning of a request, up to the value of the field turn.
func appendShard(buffer []byte, shard int) []byte {
	buffer = append(buffer, `{"shard":`...)
	buffer = strconv.AppendInt(buffer, int64(shard), 10)
	return append(buffer, `,"turn":`...)
}

// AppendJSON implements transport.Appender, as BeginTurnRequest does.
func (r BeginTurnResponse) AppendJSON(buffer []byte) ([]byte, error) {
	buffer, err := appendResult(buffer, r.Result)
	if err != nil || r.CachedIndex == 0 {
		return buffer, err
	}
	buffer = append(buffer[:len(buffer)-1], `,"held":`...)
	buffer = strconv.AppendInt(buffer, int64(r.CachedIndex), 10)
	return append(buffer, '}'), nil
}

// AppendJSON implements transport.Appender, as BeginTurnRequest does.
func (r ChainResponse) AppendJSON(buffer []byte) ([]byte, error) {
	buffer = append(buffer, `{"found":`...)
	buffer = strconv.AppendBool(buffer, r.Found)
	return append(appendChain(buffer, r.Chain), '}'), nil
}

// appendResult appends a result as encoding/json does.
func appendResult(buffer []byte, result program.Result) ([]byte, error) {
	described, err := json.Marshal(program.Result{Verdict: result.Verdict})
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, bytes.TrimSuffix(described, []byte("}"))...)
	return append(appendChain(buffer, result.Chain), '}'), nil
}

// appendChain appends the field of a chain, unless it is empty.
func appendChain(buffer, chain []byte) []byte {
	if len(chain) == 0 {
		return buffer
	}
	const start, end = `,"chain":"`, `"`
	buffer = slices.Grow(buffer, len(start)+base64.StdEncoding.EncodedLen(len(chain))+len(end)+len("}"))
	buffer = base64.StdEncoding.AppendEncode(append(buffer, start...), chain)
	return append(buffer, end...)
}
