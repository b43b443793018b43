package model

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// maxExactInteger is the highest number up to which a float64 represents every integer.
const maxExactInteger = 1 << 53

// roundedUpKeys are the keys of integers that are rounded up if they come with a fraction. The configuration's version isn't among
// them: two versions must never become one.
var roundedUpKeys = map[string]bool{
	"giveUpMs": true, "targetMs": true, "rank": true, "tries": true, "gap_aim_ms": true,
	"maxConnections": true, "capacity": true, "cacheTokens": true, "tokenCacheBytes": true, "tokensPerEvent": true,
	"maxHeaderBytes": true, "maxBodyBytes": true, "headerWaitMs": true, "idleCloseMs": true,
}

// decodeFractions decodes a value in which integers may be written with a fraction or an exponent, such as 250.0 or 1e3. It is
// slower than encoding/json by itself, and used only where that has failed.
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

// integersOnly rewrites the numbers below a key in place, as far as they are integers or may be rounded up to one.
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

// integer formats a number without a fraction if it is an integer, or if its key is among roundedUpKeys.
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
