package control

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden encodings; only for a new version of the format")

// TestStoredFormat_ReadsCapturesOfEarlierVersions decodes what an earlier version encoded for each type that captures store, compares
// every field, and checks that the same values encode to the same bytes. Fields are filled in the order of their declaration: their names
// in Go may change, their order and tags may not.
func TestStoredFormat_ReadsCapturesOfEarlierVersions(t *testing.T) {
	for _, test := range []struct {
		name  string
		empty any // a pointer
	}{
		{"settings", &Settings{}},
		{"event", &Event{}},
		{"action", &Action{}},
		{"snapshot", &Snapshot{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join("testdata", test.name+".cbor")
			want := reflect.New(reflect.TypeOf(test.empty).Elem())
			var filled int
			fillFields(t, want.Elem(), &filled)
			encoded, err := cbor.Marshal(want.Interface())
			if err != nil {
				t.Fatal(err)
			}
			if *updateGolden {
				if err = os.WriteFile(file, encoded, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			golden, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(encoded, golden) {
				t.Errorf("%d values encode to %d bytes, which differ from the %d bytes of %s", filled, len(encoded), len(golden), file)
			}
			if err := cbor.Unmarshal(golden, test.empty); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want.Interface(), test.empty); diff != "" {
				t.Errorf("read from %s (-want +got):\n%s", file, diff)
			}
		})
	}
}

// fillFields sets every field under value to a different non-zero value; slices get two elements. count is the number of values set so
// far.
func fillFields(t *testing.T, value reflect.Value, count *int) {
	t.Helper()
	*count++
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fillFields(t, value.Field(i), count)
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		for i := range value.Len() {
			fillFields(t, value.Index(i), count)
		}
	case reflect.Array:
		for i := range value.Len() {
			fillFields(t, value.Index(i), count)
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fillFields(t, value.Elem(), count)
	case reflect.String:
		value.SetString(fmt.Sprintf("text %d", *count))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(float64(*count) + 0.25)
	case reflect.Int, reflect.Int64:
		value.SetInt(int64(time.Duration(*count) * 1_000_003))
	case reflect.Uint8:
		value.SetUint(uint64(1 + *count%200))
	case reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(*count) * 1_003)
	default:
		t.Fatalf("no value for a field of kind %v", value.Kind())
	}
}
