package localtiertest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Logs returns the logs of all processes of a tier whose files are in a folder, each after a line that names its file. Of each
// log, it returns at most the last maxBytes; 0: all.
func Logs(t testing.TB, folder string, maxBytes int) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	var logs strings.Builder
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if maxBytes > 0 {
			content = content[max(0, len(content)-maxBytes):]
		}
		logs.WriteString("--- " + filepath.Base(path) + "\n" + string(content))
	}
	return logs.String()
}
