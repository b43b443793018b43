package localtier

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/command"
)

// checkShutdown returns a sentence if the process's log does not say that it ended within its grace time.
func (p *Process) checkShutdown() []string { return checkShutdownIn(p.String(), p.LogPath()) }

// checkShutdownIn is checkShutdown for a process by its name and the path of its log.
func checkShutdownIn(name, path string) []string {
	content, err := os.ReadFile(path)
	if err != nil {
		return []string{fmt.Sprintf("%s: %v", name, err)}
	}
	took, logged := shutdownTime(string(content))
	switch grace := time.Duration(graceSeconds * float64(time.Second)); {
	case !logged:
		return []string{fmt.Sprintf("%s has not logged how long its shutdown took", name)}
	case took > grace:
		return []string{fmt.Sprintf("%s took %v to shut down, more than its grace time of %v", name, took, grace)}
	}
	return nil
}

// shutdownTime finds in a process's log how long its last shutdown took; false means that the log does not say.
func shutdownTime(content string) (took time.Duration, logged bool) {
	message := strconv.Quote(command.EndMessage)
	index := strings.LastIndex(content, message)
	if index < 0 {
		return 0, false
	}
	line, _, _ := strings.Cut(content[index+len(message):], "\n")
	_, value, _ := strings.Cut(line, " after=")
	value, _, _ = strings.Cut(value, " ")
	took, err := time.ParseDuration(value)
	return took, err == nil
}
