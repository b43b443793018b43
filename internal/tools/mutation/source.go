package mutation

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// mutate returns the changed content of each file that the changes name, by absolute path. Each change is applied to the result of
// those before it. Errors: OutdatedError, or that of reading a file.
func mutate(folder string, changes []Change) (map[string]string, error) {
	changed := map[string]string{}
	for _, change := range changes {
		path, err := filepath.Abs(filepath.Join(folder, change.File))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", change.File, err)
		}
		source, known := changed[path]
		if !known {
			raw, err := os.ReadFile(path)
			if err != nil {
				return nil, fmt.Errorf("reading the source: %w", err)
			}
			source = string(raw)
		}
		if count := strings.Count(source, change.Old); count != 1 || change.Old == change.New {
			return nil, &OutdatedError{Change: change, Count: count}
		}
		changed[path] = strings.Replace(source, change.Old, change.New, 1)
	}
	return changed, nil
}

// writeOverlay writes the changed files to scratch, and the JSON file for the flag -overlay of `go`, whose path it returns.
func writeOverlay(scratch string, changed map[string]string) (string, error) {
	overlay := struct{ Replace map[string]string }{Replace: map[string]string{}}
	for path, source := range changed {
		replacement := filepath.Join(scratch, fmt.Sprintf("%d-%s", len(overlay.Replace), filepath.Base(path)))
		if err := os.WriteFile(replacement, []byte(source), 0o600); err != nil {
			return "", fmt.Errorf("writing a changed source: %w", err)
		}
		overlay.Replace[path] = replacement
	}
	raw, err := json.Marshal(overlay)
	if err != nil {
		return "", fmt.Errorf("encoding the overlay: %w", err)
	}
	path := filepath.Join(scratch, "overlay.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return "", fmt.Errorf("writing the overlay: %w", err)
	}
	return path, nil
}
