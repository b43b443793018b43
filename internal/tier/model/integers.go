package model

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// maxExactInteger is the highest number up to which a float64 holds every whole number.
const maxExactInteger = 1 << 53

// roundedUpKeys are the keys of whole numbers that may be rounded up if they come with a fraction. The configuration's
// own number isn't among them: two versions must never become one.
var roundedUpKeys = map[string]bool{
	"giveUpMs": true, "targetMs": true, "rank": true, "tries": true, "gap_aim_ms": true,
	"maxConnections": true, "capacity": true, "cacheTokens": true, "tokenCacheBytes": true, "tokensPerEvent": true,
	"maxHeaderBytes": true, "maxBodyBytes": true, "headerWaitMs": true, "idleCloseMs": true,
}

// decodeFractions reads a value in which whole numbers may be written with a fraction or an exponent. It is slower than a
// plain read, and needed only where that has failed.
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

// integersOnly rewrites the numbers below a key in place.
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

// integer writes a number without a fraction if it has none, or if its key allows that it is rounded up.
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
