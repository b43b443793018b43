package capture

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"mastusher/control"
)

// fill draws a value of any of the records' types, with many zeros.
func fill(t *rapid.T, v reflect.Value) {
	if rapid.IntRange(0, 2).Draw(t, "zero") == 0 {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("cbor") != "-" {
				fill(t, v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), rapid.IntRange(0, 30).Draw(t, "len"), 30))
		for i := range v.Len() {
			fill(t, v.Index(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem())
	case reflect.String:
		v.SetString(rapid.StringN(0, 40, 400).Draw(t, "text"))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(rapid.Float64().Draw(t, "float"))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(rapid.Uint64().Draw(t, "uint") >> rapid.IntRange(0, 63).Draw(t, "shift"))
	case reflect.Int, reflect.Int64:
		v.SetInt(rapid.Int64().Draw(t, "int") >> rapid.IntRange(0, 63).Draw(t, "shift"))
	default:
		t.Fatalf("%v: what is that?", v.Type())
	}
}

// TestFast_AnyRecord_SameBytesAsLibrary: the short way to a record's bytes ends where the library's does, whatever the record holds.
func TestFast_AnyRecord_SameBytesAsLibrary(t *testing.T) {
	quick := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		for _, record := range []any{&Turn{}, &Message{}, &Input{}} {
			fill(t, reflect.ValueOf(record).Elem())
			got, ok := appendFast([]byte("x"), record)
			if !ok {
				if turn, is := record.(*Turn); is {
					for i := range turn.Events {
						turn.Events[i].Shared = nil
					}
				}
				if in, is := record.(*Input); is {
					in.Full, in.Failed = nil, false
					for i := range in.Events {
						in.Events[i].List, in.Events[i].Outcomes, in.Events[i].Accepted, in.Events[i].Mandate = nil, nil, nil, nil
						in.Events[i].Shared = nil
					}
				}
				if got, ok = appendFast([]byte("x"), record); !ok {
					t.Fatalf("%+v is not usual", record)
				}
			}
			quick[reflect.TypeOf(record).String()] += len(got)
			want, err := cbor.Marshal(record)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got[1:], want) {
				t.Fatalf("%+v is\n%x, want\n%x", record, got[1:], want)
			}
		}
	})
	if len(quick) != 3 {
		t.Errorf("%v", quick)
	}
}

// TestFast_FieldCounts: a field that is added to a frequent record must be added to its short way too.
func TestFast_FieldCounts(t *testing.T) {
	for _, c := range []struct {
		v    any
		want int
	}{{control.Endpoint{}, 7}, {control.Event{}, 22}, {control.Action{}, 7}, {Turn{}, 4}, {Message{}, 3}, {Input{}, 7}, {CoreEvent{}, 12}, {Arrival{}, 16}} {
		if n := reflect.TypeOf(c.v).NumField(); n != c.want {
			t.Errorf("%T has %d fields, fast.go knows %d", c.v, n, c.want)
		}
	}
}
