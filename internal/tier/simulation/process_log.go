package simulation

import (
	"bytes"
	"slices"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/invariant"
)

// processLogger reads a process's log: it records the configurations that come into force at a proxy and reports violated invariants.
type processLogger struct{ process *process }

// Log implements log.Logger.
func (l *processLogger) Log(pairs ...any) error {
	var message string
	var number uint64
	for i := 0; i+1 < len(pairs); i += 2 {
		switch pairs[i] {
		case "msg":
			message, _ = pairs[i+1].(string)
		case "number":
			number, _ = pairs[i+1].(uint64)
		}
	}
	f := l.process.machine.fleet
	if message == invariant.Message {
		f.reportInvariant(l.process, pairs)
	}
	if message == "configuration in force" {
		f.history.addVersion(versionSeen{Proxy: l.process.machine.name, Incarnation: l.process.incarnation, Number: number, At: f.now()})
	}
	if f.options.Trace != nil {
		var entry bytes.Buffer
		_ = level.NewFilter(log.NewLogfmtLogger(&entry), level.AllowInfo()).Log(pairs...)
		if entry.Len() > 0 {
			f.trace("%v %s", l.process, bytes.TrimSpace(entry.Bytes()))
		}
	}
	return nil
}

// reportInvariant reports an invariant that a process found violated. It leaves out the recovery time, since faults that overlap
// may keep a proxy from serving for longer; checkRecovery checks that the tier serves after them.
func (f *Fleet) reportInvariant(p *process, pairs []any) {
	if !slices.Contains(pairs, any(invariant.Recovery)) {
		f.report("INVARIANT", "%v: %v", p, pairs)
	}
}
