package model

import (
	"encoding/json"
	"errors"
	"fmt"

	"mastusher/internal/system/invalid"
)

// Decode reads one whole configuration. Fields that it doesn't know are dropped; bytes after the document are refused.
// It doesn't tell whether the configuration is valid; see Validate.
func Decode(raw []byte) (*Configuration, error) {
	read := new(Configuration)
	err := json.Unmarshal(raw, read)
	if isFractionError(err) {
		read, err = decodeFractions(raw)
	}
	if err != nil {
		return nil, decodeFault(err)
	}
	return read, nil
}

// isFractionError tells whether a number such as 250.0 may stand where a whole one is expected.
func isFractionError(err error) bool {
	var mismatch *json.UnmarshalTypeError
	return errors.As(err, &mismatch) && isNumber(mismatch.Value)
}

// isNumber tells whether the decoder's name of a value is that of a number.
func isNumber(value string) bool {
	const prefix = "number "
	return len(value) > len(prefix) && value[:len(prefix)] == prefix
}

func decodeFault(err error) *invalid.Fault {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &invalid.Fault{Place: mismatch.Field, Reason: fmt.Sprintf("can't be a JSON %s", mismatch.Value)}
	}
	return &invalid.Fault{Reason: fmt.Sprintf("can't be read whole: %v", err)}
}
