package policy

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Diff tells, a line a key, what a document changes of another; an empty text is each relay's own file.
func Diff(from, to []byte) ([]string, error) {
	flat := func(text []byte) (map[string]string, error) {
		all := map[string]string{}
		if len(text) == 0 {
			return all, nil
		}
		if _, err := Parse(text); err != nil {
			return nil, err
		}
		var v any
		if err := json.Unmarshal(text, &v); err != nil {
			return nil, err
		}
		flatten(all, "", v)
		return all, nil
	}
	was, err := flat(from)
	if err != nil {
		return nil, err
	}
	is, err := flat(to)
	if err != nil {
		return nil, err
	}
	keys := maps.Clone(was)
	maps.Copy(keys, is)
	var lines []string
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		a, had := was[k]
		b, has := is[k]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ %s %s", k, b))
		case !has:
			lines = append(lines, fmt.Sprintf("- %s %s", k, a))
		case a != b:
			lines = append(lines, fmt.Sprintf("~ %s %s -> %s", k, a, b))
		}
	}
	return lines, nil
}

func flatten(all map[string]string, at string, v any) {
	m, ok := v.(map[string]any)
	if !ok {
		b, _ := json.Marshal(v) // it was read as JSON
		all[at] = string(b)
		return
	}
	for k, x := range m {
		if at != "" {
			k = at + "." + k
		}
		flatten(all, k, x)
	}
}
