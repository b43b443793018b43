package model

import (
	"encoding/json"
	"errors"
	"fmt"

	"mastusher/internal/tier/validation"
)

// Decode decodes a complete configuration. It ignores unknown fields, and rejects bytes after the document. It doesn't validate the
// configuration; see Validate. The error is a validation.FieldError.
func Decode(raw []byte) (*Configuration, error) {
	decoded := new(Configuration)
	if err := DecodeValue("", raw, decoded); err != nil {
		return nil, err
	}
	return decoded, nil
}

// DecodeValue decodes the value of a configuration's key into target. The field of an error is relative to the value. A nil result must not
// be assigned to a variable of type error, where it would be a typed nil.
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

// isFractionError reports whether an error may be caused by a number like 250.0 for an integer.
func isFractionError(err error) bool {
	var mismatch *json.UnmarshalTypeError
	return errors.As(err, &mismatch) && isNumber(mismatch.Value)
}

// isNumber reports whether a decoding error's description of a value is that of a number.
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
