package schema

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/model/form"
	"mastusher/internal/tier/validation"
)

// substitutes are what a random value of a document is replaced by.
var substitutes = []string{`null`, `true`, `false`, `""`, `"/"`, `"/a"`, `"a/"`, `"/a/b/"`, `"/\n/"`, `"streaming"`, `"Streaming"`, `"lm"`,
	`-1`, `0`, `-0`, `1`, `0.5`, `7.0`, `1e300`, `1e-400`, `0e10`, `1e400`, `[]`, `[null]`, `{}`, `{"name":"x"}`}

// places lists each place of a tree, as what sets it.
func places(value any, set func(any), add func(set func(any))) {
	add(set)
	switch value := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(value)) {
			inner := value[name]
			places(inner, func(other any) { value[name] = other }, add)
			add(func(any) { delete(value, name) })
		}
	case []any:
		for i, inner := range value {
			places(inner, func(other any) { value[i] = other }, add)
		}
	}
}

// changed returns a document of which up to three values are replaced or left out.
func changed(t *rapid.T) []byte {
	var tree any
	if err := json.Unmarshal([]byte(document(2)), &tree); err != nil {
		t.Fatal(err)
	}
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		var all []func(any)
		places(tree, func(other any) { tree = other }, func(set func(any)) { all = append(all, set) })
		at := rapid.IntRange(0, len(all)-1).Draw(t, "place")
		all[at](json.RawMessage(rapid.SampledFrom(substitutes).Draw(t, "value")))
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// agree tells where the typed checks and the schema differ on a document; empty: nowhere.
func agree(raw []byte) string {
	read, formErr := form.Parse(raw)
	schemaErr := checkSchema(raw)
	decoded, decodeErr := model.Decode(raw)
	validErr := error(nil)
	if decodeErr == nil {
		validErr = model.Validate(decoded)
	}
	isValid := schemaErr == nil && decodeErr == nil && validErr == nil
	if isValid != (formErr == nil) {
		return fmt.Sprintf("form: %v, schema: %v, decode: %v, rules: %v", formErr, schemaErr, decodeErr, validErr)
	}
	if formErr == nil && fmt.Sprintf("%+v", *read) != fmt.Sprintf("%+v", *decoded) && !samePointers(read, decoded) {
		return fmt.Sprintf("read as %+v, decoded as %+v", read, decoded)
	}
	return placesDiffer(formErr, schemaErr)
}

// samePointers tells whether two configurations are the same by content.
func samePointers(a, b *model.Configuration) bool {
	first, _ := json.Marshal(a)
	second, _ := json.Marshal(b)
	return string(first) == string(second)
}

// placesDiffer tells at or below which place the typed checks find no fault though the schema does: where several forms are
// allowed, that one names what holds the value as well. Rules are looked at only once the form is right, and what can't be
// decoded is a fault to the typed checks alone.
func placesDiffer(formErr, schemaErr error) string {
	found := validation.FieldErrors(formErr)
	for _, fault := range validation.FieldErrors(schemaErr) {
		if !slices.ContainsFunc(found, func(f *validation.FieldError) bool { return strings.HasPrefix(f.Field, fault.Field) }) {
			return fmt.Sprintf("no fault at %q in: %v", fault.Field, formErr)
		}
	}
	return ""
}

// Given any document near a proper one, then the typed checks that controllers use and the schema agree on it.
func TestForm_AnyDocument_AgreesWithSchema(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := changed(t)
		if text := agree(raw); text != "" {
			t.Fatalf("%s\n%s", raw, text)
		}
	})
}

// FuzzForm holds the typed checks against the schema on any bytes. What repeats a name or isn't UTF-8 is refused by the typed
// checks alone.
func FuzzForm(f *testing.F) {
	f.Add([]byte(document(1)))
	f.Add([]byte(`{"number":1,"routes":[],"services":[],"limits":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := form.Parse(raw)
		if err == nil && Check(raw) != nil {
			t.Fatalf("taken though the schema refuses it: %v", Check(raw))
		}
		if err != nil && len(validation.FieldErrors(err)) == 0 {
			t.Fatalf("%v holds no fault", err)
		}
	})
}
