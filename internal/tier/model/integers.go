package model

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// maxExactInteger is the largest number up to which float64 represents every integer.
const maxExactInteger = 1 << 53

// roundedUpKeys are the keys of integers that are rounded up if they have a fraction. The configuration's version is not one of them,
// because rounding could make two versions equal.
var roundedUpKeys = map[string]bool{
	"giveUpMs": true, "targetMs": true, "rank": true, "tries": true, "gap_aim_ms": true,
	"maxConnections": true, "capacity": true, "cacheTokens": true, "tokenCacheBytes": true, "tokensPerEvent": true,
	"maxHeaderBytes": true, "maxBodyBytes": true, "headerWaitMs": true, "idleCloseMs": true,
}

// decodeFractions decodes a value in which integers may have a fraction or an exponent, such as 250.0 or 1e3. It is slower than
// encoding/json, and only used after that has failed.
func decodeFractions(key string, raw []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return err
	}
	rewritten, err := json.Marshal(integersOnly(key, document))
	if err != nil {
		return err
	}
	return json.Unmarshal(rewritten, target)
}

// integersOnly rewrites in place the numbers below a key that are integers or may be rounded up to one.
func integersOnly(key string, value any) any {
	switch value := value.(type) {
	case map[string]any:
		for inner := range value {
			value[inner] = integersOnly(inner, value[inner])
		}
	case []any:
		for i := range value {
			value[i] = integersOnly(key, value[i])
		}
	case json.Number:
		return integer(key, value)
	}
	return value
}

// integer formats a number without a fraction if it is an integer, or after rounding up if its key is in roundedUpKeys.
func integer(key string, number json.Number) json.Number {
	value, err := number.Float64()
	if err != nil || math.Abs(value) > maxExactInteger {
		return number
	}
	if roundedUpKeys[key] {
		value = math.Ceil(value)
	}
	if value != math.Trunc(value) {
		return number
	}
	return json.Number(strconv.FormatInt(int64(value), 10))
}
