package localtier

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/command"
)

// checkShutdown gives a sentence if the process doesn't say that it has ended within its grace time.
func (p *Process) checkShutdown() []string { return checkShutdownIn(p.String(), p.LogPath()) }

func checkShutdownIn(name, path string) []string {
	content, err := os.ReadFile(path)
	if err != nil {
		return []string{fmt.Sprintf("%s: %v", name, err)}
	}
	took, told := shutdownTime(string(content))
	switch grace := time.Duration(graceSeconds * float64(time.Second)); {
	case !told:
		return []string{fmt.Sprintf("%s doesn't say how long its end took", name)}
	case took > grace:
		return []string{fmt.Sprintf("%s took %v for its end, with a grace time of %v", name, took, grace)}
	}
	return nil
}

// shutdownTime reads from what a process has logged how long after its last SIGTERM it had ended.
func shutdownTime(logged string) (took time.Duration, told bool) {
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
