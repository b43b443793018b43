package policy

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Diff returns, a line for each key in their order, what a document changes of another: "+ KEY VALUE", "- KEY VALUE" or "~ KEY OLD -> NEW". An
// empty text is each relay's own configuration. It fails with a *KeyError where a document can't be parsed.
func Diff(from, to []byte) ([]string, error) {
	before, err := flattenDocument(from)
	if err != nil {
		return nil, err
	}
	after, err := flattenDocument(to)
	if err != nil {
		return nil, err
	}
	keys := maps.Clone(before)
	maps.Copy(keys, after)
	var changes []string
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		old, wasSet := before[key]
		current, isSet := after[key]
		switch {
		case !wasSet:
			changes = append(changes, fmt.Sprintf("+ %s %s", key, current))
		case !isSet:
			changes = append(changes, fmt.Sprintf("- %s %s", key, old))
		case old != current:
			changes = append(changes, fmt.Sprintf("~ %s %s -> %s", key, old, current))
		}
	}
	return changes, nil
}

// flattenDocument returns the values of a document, as JSON, by their keys' paths; an empty text has none.
func flattenDocument(text []byte) (map[string]string, error) {
	values := map[string]string{}
	if len(text) == 0 {
		return values, nil
	}
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	var content any
	if err := json.Unmarshal(text, &content); err != nil {
		return nil, err
	}
	flatten(values, "", content)
	return values, nil
}

// flatten adds a value to values under its path, or, if it is an object, the values in it under theirs.
func flatten(values map[string]string, path string, value any) {
	object, ok := value.(map[string]any)
	if !ok {
		encoded, _ := json.Marshal(value) // it was decoded from JSON
		values[path] = string(encoded)
		return
	}
	for key, member := range object {
		if path != "" {
			key = path + "." + key
		}
		flatten(values, key, member)
	}
}
