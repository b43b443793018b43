package localtier

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/command"
)

// checkEnd gives a sentence if the process doesn't say that it has ended within its grace time.
func (p *Process) checkEnd() []string { return checkEndIn(p.String(), p.LogPath()) }

func checkEndIn(name, path string) []string {
	content, err := os.ReadFile(path)
	if err != nil {
		return []string{fmt.Sprintf("%s: %v", name, err)}
	}
	took, told := endedAfter(string(content))
	switch grace := time.Duration(processGrace * float64(time.Second)); {
	case !told:
		return []string{fmt.Sprintf("%s doesn't say how long its end took", name)}
	case took > grace:
		return []string{fmt.Sprintf("%s took %v for its end, with a grace time of %v", name, took, grace)}
	}
	return nil
}

// endedAfter reads from what a process has logged how long after its last SIGTERM it had ended.
func endedAfter(logged string) (took time.Duration, told bool) {
	message := strconv.Quote(command.EndMessage)
	at := strings.LastIndex(logged, message)
	if at < 0 {
		return 0, false
	}
	line, _, _ := strings.Cut(logged[at+len(message):], "\n")
	_, value, _ := strings.Cut(line, " after=")
	value, _, _ = strings.Cut(value, " ")
	took, err := time.ParseDuration(value)
	return took, err == nil
}
