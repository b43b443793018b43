package policy

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Diff returns the differences between two documents, one line for each key in sorted order: "+ KEY VALUE", "- KEY VALUE" or
// "~ KEY OLD -> NEW". An empty text is a document without keys. Diff returns a *KeyError if a document can't be parsed.
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

// flattenDocument returns the values of a document, encoded as JSON, by the paths of their keys; an empty text has none.
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

// flatten adds a value to values under its path. For an object it adds the members instead, under their own paths.
func flatten(values map[string]string, path string, value any) {
	object, ok := value.(map[string]any)
	if !ok {
		encoded, _ := json.Marshal(value) // a value decoded from JSON can be encoded
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
