package config

// Capture is the configuration of captures of the relay's decisions.
type Capture struct {
	Dir      string // folder for the captures; "": captures are not possible
	On       bool   // record from the start of the relay
	FileSize int64  // size in bytes from which the next file begins
	DirSize  int64  // bytes of all files together
}

// capture reads the section capture.
func (p *parser) capture(c *Config) {
	c.Capture = Capture{Dir: p.text("capture.dir", ""), On: p.flag("capture.on", false),
		FileSize: int64(p.number("capture.file_kb", 4096, 64, 1<<20)) << 10,
		DirSize:  int64(p.number("capture.total_mb", 64, 0.25, 1<<20) * (1 << 20))}
	p.require("capture.dir", c.Capture.Dir != "" || !c.Capture.On, "missing: want a folder for the captures")
	p.require("capture.total_mb", c.Capture.DirSize >= 2*c.Capture.FileSize, "want room for at least two files of capture.file_kb")
}
