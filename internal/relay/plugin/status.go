package plugin

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"mastusher/internal/relay/config"
)

func hashOf(text []byte) uint64 { return xxhash.Sum64(text) }

func phaseNames(p Phase) string {
	var s []string
	for _, one := range []Phase{Arrival, Answer, End} {
		if p&one != 0 {
			s = append(s, one.String())
		}
	}
	return strings.Join(s, ",")
}

// Status is what a relay says of its plug-ins, in a file beside their stores, after each load.
type Status struct {
	Generation int
	At         time.Time
	Error      string // of the last load; what ran before goes on
	Plugins    []StatusEntry
}

// StatusEntry is one plug-in that runs.
type StatusEntry struct {
	Name   string
	File   string
	Module string // xxhash of its bytes
	ABI    int
	Phases string
}

// append writes the status as JSON, a plug-in a line.
func (s *Status) append(b []byte) []byte {
	b = fmt.Appendf(b, `{"generation":%d,"at":"%s","error":`, s.Generation, s.At.UTC().Format(time.RFC3339Nano))
	b = append(gjson.AppendJSONString(b, s.Error), `,"plugins":[`...)
	for i, p := range s.Plugins {
		if i > 0 {
			b = append(b, ',')
		}
		b = gjson.AppendJSONString(append(b, "\n{\"name\":"...), p.Name)
		b = gjson.AppendJSONString(append(b, `,"file":`...), p.File)
		b = fmt.Appendf(b, `,"module":"%s","abi":%d,"phases":"%s"}`, p.Module, p.ABI, p.Phases)
	}
	return append(b, "]}\n"...)
}

// ReadStatus reads what a relay has written last.
func ReadStatus(cfg *config.Config) (s Status, err error) {
	text, err := os.ReadFile(StatusFile(cfg))
	if err != nil {
		return s, err
	}
	if !gjson.ValidBytes(text) {
		return s, fmt.Errorf("plugin: %s can't be read", StatusFile(cfg))
	}
	r := gjson.ParseBytes(text)
	s = Status{Generation: int(r.Get("generation").Int()), At: r.Get("at").Time(), Error: r.Get("error").String()}
	r.Get("plugins").ForEach(func(_, p gjson.Result) bool {
		s.Plugins = append(s.Plugins, StatusEntry{p.Get("name").String(), p.Get("file").String(), p.Get("module").String(),
			int(p.Get("abi").Int()), p.Get("phases").String()})
		return true
	})
	return s, nil
}

// StatusFile is where the status stands.
func StatusFile(cfg *config.Config) string {
	return filepath.Join(cfg.PluginHost.Store, "plugins.status")
}

// status writes the status, if there is a folder for it. The lock is held.
func (h *Host) status(cfg *config.Config, fault error) {
	if h.storeDir == "" {
		return
	}
	s := h.Status()
	s.Generation = h.number
	if fault != nil {
		s.Error = fault.Error()
	}
	file := StatusFile(cfg)
	err := os.WriteFile(file+".next", s.append(nil), 0o600)
	if err == nil {
		err = os.Rename(file+".next", file)
	}
	if err != nil {
		h.log.Warn("plug-in status not written", "err", err)
	}
}
