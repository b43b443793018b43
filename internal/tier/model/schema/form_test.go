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

// substitutes are the values that replace random values of a document.
var substitutes = []string{`null`, `true`, `false`, `""`, `"/"`, `"/a"`, `"a/"`, `"/a/b/"`, `"/\n/"`, `"streaming"`, `"Streaming"`, `"lm"`,
	`-1`, `0`, `-0`, `1`, `0.5`, `7.0`, `1e300`, `1e-400`, `0e10`, `1e400`, `[]`, `[null]`, `{}`, `{"name":"x"}`}

// eachValue calls add for each value of a tree with a function that replaces the value, and for each field with one that deletes it.
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

// mutated returns a document of which up to three values are replaced or deleted.
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

// disagreement describes how package form and the schema disagree about a document; empty: they agree.
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
		return fmt.Sprintf("only one side accepts it: form: %v, schema: %v, decode: %v, rules: %v", formErr, schemaErr, decodeErr, validErr)
	}
	if formErr == nil && fmt.Sprintf("%+v", *read) != fmt.Sprintf("%+v", *decoded) && !sameJSON(read, decoded) {
		return fmt.Sprintf("form parsed %+v, model decoded %+v", read, decoded)
	}
	return fieldsDiffer(formErr, schemaErr)
}

// sameJSON reports whether two configurations have the same JSON encoding.
func sameJSON(a, b *model.Configuration) bool {
	first, _ := json.Marshal(a)
	second, _ := json.Marshal(b)
	return string(first) == string(second)
}

// fieldsDiffer describes a field for which the schema finds an error, but package form finds none for it or a field below it: where the
// schema allows several forms, it also reports errors for the parent of a value. Rules are only checked if the form is valid, and only
// package form reports values that can't be decoded, so errors of package form alone are not a difference.
func fieldsDiffer(formErr, schemaErr error) string {
	found := validation.FieldErrors(formErr)
	for _, fieldErr := range validation.FieldErrors(schemaErr) {
		if !slices.ContainsFunc(found, func(f *validation.FieldError) bool { return strings.HasPrefix(f.Field, fieldErr.Field) }) {
			return fmt.Sprintf("no error of field %q in: %v", fieldErr.Field, formErr)
		}
	}
	return ""
}

// TestForm_AnyDocument_AgreesWithSchema checks that package form, which controllers use, agrees with the schema on almost valid documents.
func TestForm_AnyDocument_AgreesWithSchema(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := mutated(t)
		if text := disagreement(raw); text != "" {
			t.Fatalf("%s\n%s", raw, text)
		}
	})
}

// FuzzForm checks that the schema accepts all documents that package form accepts. Only package form rejects
// duplicate names and invalid UTF-8.
func FuzzForm(f *testing.F) {
	f.Add([]byte(document(1)))
	f.Add([]byte(`{"number":1,"routes":[],"services":[],"limits":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := form.Parse(raw)
		if err == nil && Check(raw) != nil {
			t.Fatalf("accepted by package form, but the schema rejects it: %v", Check(raw))
		}
		if err != nil && len(validation.FieldErrors(err)) == 0 {
			t.Fatalf("%v holds no field error", err)
		}
	})
}
