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

// eachValue lists each value of a tree, as a function that replaces it.
func eachValue(value any, set func(any), add func(set func(any))) {
	add(set)
	switch value := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(value)) {
			inner := value[name]
			eachValue(inner, func(other any) { value[name] = other }, add)
			add(func(any) { delete(value, name) })
		}
	case []any:
		for i, inner := range value {
			eachValue(inner, func(other any) { value[i] = other }, add)
		}
	}
}

// mutated returns a document of which up to three values are replaced or left out.
func mutated(t *rapid.T) []byte {
	var tree any
	if err := json.Unmarshal([]byte(document(2)), &tree); err != nil {
		t.Fatal(err)
	}
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		var all []func(any)
		eachValue(tree, func(other any) { tree = other }, func(set func(any)) { all = append(all, set) })
		at := rapid.IntRange(0, len(all)-1).Draw(t, "place")
		all[at](json.RawMessage(rapid.SampledFrom(substitutes).Draw(t, "value")))
	}
	raw, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// disagreement tells where package form and the schema differ on a document; empty: nowhere.
func disagreement(raw []byte) string {
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
	if formErr == nil && fmt.Sprintf("%+v", *read) != fmt.Sprintf("%+v", *decoded) && !sameJSON(read, decoded) {
		return fmt.Sprintf("read as %+v, decoded as %+v", read, decoded)
	}
	return fieldsDiffer(formErr, schemaErr)
}

// sameJSON tells whether two configurations are the same by content.
func sameJSON(a, b *model.Configuration) bool {
	first, _ := json.Marshal(a)
	second, _ := json.Marshal(b)
	return string(first) == string(second)
}

// fieldsDiffer tells of which field, or fields below it, package form finds no error though the schema does: where several forms are
// allowed, the schema names what holds the value as well. Rules are checked only once the form is valid, and what can't be decoded is an
// error to package form alone.
func fieldsDiffer(formErr, schemaErr error) string {
	found := validation.FieldErrors(formErr)
	for _, one := range validation.FieldErrors(schemaErr) {
		if !slices.ContainsFunc(found, func(f *validation.FieldError) bool { return strings.HasPrefix(f.Field, one.Field) }) {
			return fmt.Sprintf("no error of field %q in: %v", one.Field, formErr)
		}
	}
	return ""
}

// Given any document near a proper one, then package form, which controllers use, and the schema agree on it.
func TestForm_AnyDocument_AgreesWithSchema(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := mutated(t)
		if text := disagreement(raw); text != "" {
			t.Fatalf("%s\n%s", raw, text)
		}
	})
}

// FuzzForm compares package form with the schema on any bytes. What repeats a name or isn't UTF-8 is refused by package
// form alone.
func FuzzForm(f *testing.F) {
	f.Add([]byte(document(1)))
	f.Add([]byte(`{"number":1,"routes":[],"services":[],"limits":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := form.Parse(raw)
		if err == nil && Check(raw) != nil {
			t.Fatalf("accepted though the schema refuses it: %v", Check(raw))
		}
		if err != nil && len(validation.FieldErrors(err)) == 0 {
			t.Fatalf("%v holds no field error", err)
		}
	})
}
