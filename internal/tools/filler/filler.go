// Package filler sets every field of a value, for tests that compare stored or sent encodings with those of earlier versions. The
// values depend on the order of the fields and not on their names, so that renaming a field doesn't change them.
package filler

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// Fill sets each field of the value that pointer points to, also behind pointers, in slices (two elements) and in maps (one
// pair), to values other than zero, hardly any two of which are equal. The same type always gets the same values. It panics on a kind
// that encodings don't support, such as a channel or a function, and on an unexported field.
func Fill(pointer any) { new(counter).fill(reflect.ValueOf(pointer).Elem()) }

// New returns a pointer to a filled value of the type that prototype points to.
func New(prototype any) any {
	made := reflect.New(reflect.TypeOf(prototype).Elem())
	Fill(made.Interface())
	return made.Interface()
}

// counter is the number of values set so far; each scalar is derived from it.
type counter int

func (c *counter) fill(value reflect.Value) {
	*c++
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		c.fill(value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			c.fill(value.Field(i))
		}
	case reflect.Array:
		for i := range value.Len() {
			c.fill(value.Index(i))
		}
	case reflect.Slice:
		c.fillSlice(value)
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		c.fill(key)
		c.fill(element)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	default:
		c.fillScalar(value)
	}
}

func (c *counter) fillScalar(value reflect.Value) {
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(*c) % 127)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*c) % 255)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(*c) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprintf("text %d <\"\n>", *c))
	default:
		panic(fmt.Sprintf("filler: no value for a %v", value.Type()))
	}
}

func (c *counter) fillSlice(value reflect.Value) {
	switch {
	case value.Type() == reflect.TypeFor[json.RawMessage]():
		value.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, *c))
	case value.Type().Elem().Kind() == reflect.Uint8:
		value.SetBytes([]byte{byte(*c), 0xff, 0, '\n'})
	default:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		c.fill(value.Index(0))
		c.fill(value.Index(1))
	}
}
