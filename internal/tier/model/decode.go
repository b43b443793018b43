package model

import (
	"encoding/json"
	"errors"
	"fmt"

	"mastusher/internal/tier/validation"
)

// Decode reads one whole configuration. Fields that it doesn't know are dropped; bytes after the document are refused.
// It doesn't tell whether the configuration is valid; see Validate.
func Decode(raw []byte) (*Configuration, error) {
	read := new(Configuration)
	if fault := DecodeValue("", raw, read); fault != nil {
		return nil, fault
	}
	return read, nil
}

// DecodeValue reads one value of a configuration, which stands there under a key, into its target. A fault's place is below
// the value.
func DecodeValue(key string, raw []byte, target any) *validation.FieldError {
	err := json.Unmarshal(raw, target)
	if isFractionError(err) {
		err = decodeFractions(key, raw, target)
	}
	if err != nil {
		return decodeError(err)
	}
	return nil
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

func decodeError(err error) *validation.FieldError {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &validation.FieldError{Field: mismatch.Field, Reason: fmt.Sprintf("can't be a JSON %s", mismatch.Value)}
	}
	return &validation.FieldError{Reason: fmt.Sprintf("can't be read whole: %v", err)}
}
