package plugin

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/internal/relay/config"
)

// Status describes a relay's plug-ins. The relay writes it to a file in the folder of the stores after each load.
type Status struct {
	Generation int       // number of loads, including failed ones
	At         time.Time // when the status was written
	Error      string    // of the last load; after a failed load the previous plug-ins keep running
	Plugins    []StatusEntry
}

// StatusEntry describes one plug-in that runs.
type StatusEntry struct {
	Name   string
	File   string // of the module
	Module string // xxhash of its bytes, 16 hexadecimal digits
	ABI    int
	Phases string // names, joined by commas
}

// append appends the status as JSON, with one line for each plug-in.
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

// ReadStatus reads the status that a relay has written last. Its error is one of reading the file, or a *StatusFileError.
func ReadStatus(cfg *config.Config) (Status, error) {
	text, err := os.ReadFile(StatusFile(cfg))
	if err != nil {
		return Status{}, err
	}
	if !gjson.ValidBytes(text) {
		return Status{}, &StatusFileError{File: StatusFile(cfg)}
	}
	root := gjson.ParseBytes(text)
	s := Status{Generation: int(root.Get("generation").Int()), At: root.Get("at").Time(), Error: root.Get("error").String()}
	root.Get("plugins").ForEach(func(_, p gjson.Result) bool {
		s.Plugins = append(s.Plugins, StatusEntry{Name: p.Get("name").String(), File: p.Get("file").String(),
			Module: p.Get("module").String(), ABI: int(p.Get("abi").Int()), Phases: p.Get("phases").String()})
		return true
	})
	return s, nil
}

// StatusFile returns the path of the status file, which is in the folder of the stores.
func StatusFile(cfg *config.Config) string {
	return filepath.Join(cfg.PluginHost.Store, "plugins.status")
}

// writeStatus writes the status file, unless no folder for stores is configured. loadErr is the error of the last load; nil: it
// succeeded. The caller holds h.mu.
func (h *Host) writeStatus(cfg *config.Config, loadErr error) {
	if h.storeDir == "" {
		return
	}
	s := h.Status()
	s.Generation = h.generationNo
	if loadErr != nil {
		s.Error = loadErr.Error()
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
