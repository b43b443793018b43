package capture

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"mastusher/control"
)

// fill sets a value of any type that occurs in records to random content, with many zeros.
func fill(t *rapid.T, value reflect.Value) {
	if rapid.IntRange(0, 2).Draw(t, "zero") == 0 {
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).Tag.Get("cbor") != "-" {
				fill(t, value.Field(i))
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), rapid.IntRange(0, 30).Draw(t, "len"), 30))
		for i := range value.Len() {
			fill(t, value.Index(i))
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(t, value.Elem())
	case reflect.String:
		value.SetString(rapid.StringN(0, 40, 400).Draw(t, "text"))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(rapid.Float64().Draw(t, "float"))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		value.SetUint(rapid.Uint64().Draw(t, "uint") >> rapid.IntRange(0, 63).Draw(t, "shift"))
	case reflect.Int, reflect.Int64:
		value.SetInt(rapid.Int64().Draw(t, "int") >> rapid.IntRange(0, 63).Draw(t, "shift"))
	default:
		t.Fatalf("fill does not support type %v", value.Type())
	}
}

// TestFast_AnyRecord_SameBytesAsLibrary checks that appendFast and the CBOR library encode any record to the same bytes.
func TestFast_AnyRecord_SameBytesAsLibrary(t *testing.T) {
	encoded := map[string]int{} // bytes, by type
	rapid.Check(t, func(t *rapid.T) {
		for _, record := range []any{&Turn{}, &Message{}, &Input{}} {
			fill(t, reflect.ValueOf(record).Elem())
			got, ok := appendFast([]byte("x"), record)
			if !ok {
				removeSlowFields(record)
				if got, ok = appendFast([]byte("x"), record); !ok {
					t.Fatalf("%+v has no fast path", record)
				}
			}
			encoded[reflect.TypeOf(record).String()] += len(got)
			want, err := cbor.Marshal(record)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got[1:], want) {
				t.Fatalf("%+v is encoded as\n%x, want\n%x", record, got[1:], want)
			}
		}
	})
	if len(encoded) != 3 {
		t.Errorf("encoded bytes by record type: %v, want 3 types", encoded)
	}
}

// removeSlowFields clears the fields of a record that only the CBOR library encodes.
func removeSlowFields(record any) {
	switch record := record.(type) {
	case *Turn:
		for i := range record.Events {
			record.Events[i].Shared = nil
		}
	case *Input:
		record.Full, record.Failed = nil, false
		for i := range record.Events {
			event := &record.Events[i]
			event.List, event.Outcomes, event.Accepted, event.Mandate, event.Shared = nil, nil, nil, nil, nil
		}
	}
}

// TestFast_FieldCounts fails when a record gets a new field, which fast.go must then encode too.
func TestFast_FieldCounts(t *testing.T) {
	for _, c := range []struct {
		record any
		want   int
	}{{control.Endpoint{}, 7}, {control.Event{}, 22}, {control.Action{}, 7}, {Turn{}, 4}, {Message{}, 3}, {Input{}, 7}, {CoreEvent{}, 12}, {Arrival{}, 16}} {
		if n := reflect.TypeOf(c.record).NumField(); n != c.want {
			t.Errorf("%T has %d fields, fast.go encodes %d", c.record, n, c.want)
		}
	}
}
